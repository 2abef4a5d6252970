package org.boragebarrow.standins;

import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Runs the stand-ins that an INI file lists, until the process receives a signal to terminate. */
@Command(name = "run", description = "runs the stand-ins that an INI file lists until SIGTERM or Ctrl-C")
public final class RunCommand implements Runnable {
    @Arguments(title = "FILE", description = "the INI file")
    @Required
    private String file;

    @Override
    public void run() {
        StandinFleet fleet = StandinFleet.start(read(Path.of(file)));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(fleet, stopped), "shutdown"));
        fleet.descriptions().forEach(System.out::println);
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void stop(StandinFleet fleet, CountDownLatch stopped) {
        fleet.close();
        System.out.println("stopped");
        stopped.countDown();
    }

    private static StandinsSettings read(Path path) {
        try (Reader reader = Files.newBufferedReader(path)) {
            return StandinsSettings.read(reader);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + path + ": " + e.getMessage(), e);
        }
    }
}
