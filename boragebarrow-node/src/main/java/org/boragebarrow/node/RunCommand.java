package org.boragebarrow.node;

import java.util.concurrent.CountDownLatch;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.node.settings.HostSettings;

/** Runs a host until the process receives SIGTERM or SIGINT, then drains it. */
@Command(name = "run", description = "Runs a host until SIGTERM or SIGINT, then drains")
public final class RunCommand implements Runnable {
    @Required
    @Arguments(title = "FILE", description = "The settings file")
    private String file;

    @Override
    public void run() {
        HostSettings settings = SettingsFiles.read(file);
        // A later incarnation starts later and so has a higher number; membership increases it if a clock was set back.
        Host host = Host.start(settings, IncarnationNumber.of(System.currentTimeMillis()));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(host, stopped), "drain"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void drain(Host host, CountDownLatch stopped) {
        try {
            host.drain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            stopped.countDown();
        }
    }
}
