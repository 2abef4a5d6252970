package org.boragebarrow.ctl;

import java.time.Duration;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.base.Ticker;
import org.boragebarrow.ctl.admin.AdminClient;
import org.boragebarrow.ctl.admin.Rollout;

/** Shows on which hosts a change is in effect. */
@Command(name = "show", description = "Shows on which hosts a change is in effect")
public final class ShowChangeCommand implements CtlCommand {
    @AirlineModule
    private AdminOptions admin = new AdminOptions();

    @Option(
            name = "--wait",
            title = "SECONDS",
            description = "Waits at most this long until the change is in effect on every reachable host")
    private int waitSeconds;

    @Required
    @Arguments(title = "N", description = "The change's number")
    private long number;

    @Override
    public void run(Console console) {
        Duration timeout = Duration.ofSeconds(Math.max(0, waitSeconds));
        try (AdminClient client = admin.createClient()) {
            Rollout rollout = Rollout.await(client, number, timeout, Ticker.systemTicker());
            ChangeReports.print(rollout, admin.json(), console);
            if (waitSeconds > 0) {
                ChangeReports.checkInEffect(rollout, timeout);
            }
        }
    }
}
