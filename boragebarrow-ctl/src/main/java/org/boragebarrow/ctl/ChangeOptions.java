package org.boragebarrow.ctl;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

import com.github.rvesse.airline.annotations.Option;
import com.google.common.base.Ticker;
import org.boragebarrow.ctl.admin.AcceptedChange;
import org.boragebarrow.ctl.admin.AdminClient;
import org.boragebarrow.ctl.admin.Edit;
import org.boragebarrow.ctl.admin.Rollout;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.model.Ids;

/** The options of all commands that change an entry. */
public final class ChangeOptions {
    private static final long NO_VERSION = -1;

    @Option(
            name = "--wait",
            title = "SECONDS",
            description = "Waits at most this long until the change is in effect on every reachable host")
    private int waitSeconds;

    @Option(
            name = "--if-match",
            title = "VERSION",
            description = "Fails with exit code 3 unless the entry has this version; 0: unless it does not exist")
    private long ifMatch = NO_VERSION;

    @Option(
            name = "--change-id",
            title = "ID",
            description = "Makes a repeat of the command idempotent; generated and printed when absent")
    private String changeId;

    /**
     * Sends the edit and, with {@code --wait}, waits until it is in effect on every reachable host; throws
     * {@link CommandException} if either fails.
     */
    void sendEdit(ChangeEntry entry, AdminOptions admin, Console console) {
        Edit edit = new Edit(
                entry, resolveChangeId(), ifMatch == NO_VERSION ? OptionalLong.empty() : OptionalLong.of(ifMatch));
        // Printed before the edit is sent, so that an operator can repeat the change if the response is lost.
        console.err().println("change-id: " + edit.changeId());
        try (AdminClient client = admin.createClient()) {
            AcceptedChange accepted = edit.send(client);
            if (waitSeconds <= 0) {
                ChangeReports.print(accepted, Optional.empty(), admin.json(), console);
                return;
            }
            Duration timeout = Duration.ofSeconds(waitSeconds);
            Rollout rollout = Rollout.await(client, accepted.number(), timeout, Ticker.systemTicker());
            ChangeReports.print(accepted, Optional.of(rollout), admin.json(), console);
            ChangeReports.checkInEffect(rollout, timeout);
        }
    }

    private String resolveChangeId() {
        String id = changeId == null ? UUID.randomUUID().toString() : changeId;
        if (!Ids.isValid(id) || ifMatch < NO_VERSION) {
            throw new CommandException(ExitCode.USAGE, "--change-id or --if-match is not valid");
        }
        return id;
    }
}
