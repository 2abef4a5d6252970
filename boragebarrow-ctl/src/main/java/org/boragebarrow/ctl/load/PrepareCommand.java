package org.boragebarrow.ctl.load;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.UUID;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import org.boragebarrow.ctl.AdminOptions;
import org.boragebarrow.ctl.CommandException;
import org.boragebarrow.ctl.Console;
import org.boragebarrow.ctl.CtlCommand;
import org.boragebarrow.ctl.ExitCode;
import org.boragebarrow.ctl.admin.AdminClient;
import org.boragebarrow.ctl.admin.Edit;
import org.boragebarrow.ctl.admin.Rollout;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.Plan;
import org.boragebarrow.model.PlanId;

/** Creates the plans and allowances of the organisations of a scenario. */
@Command(name = "prepare", description = "Sets a plan and an allowance for each organisation of a scenario, for trials")
public final class PrepareCommand implements CtlCommand {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofMinutes(1);
    private static final Duration MAX_TIMEOUT = Duration.ofMinutes(30);

    @AirlineModule
    private AdminOptions admin = new AdminOptions();

    @Option(name = "--tokens-per-minute", title = "N", description = "The rate of each allowance (1000000000)")
    private long tokensPerMinute = 1_000_000_000;

    @Option(name = "--max-concurrent", title = "N", description = "The concurrency of each allowance (100000)")
    private int maxConcurrent = 100_000;

    @Option(name = "--wait", title = "SECONDS", description = "How long to wait for the changes to be in effect (30)")
    private int waitSeconds = 30;

    @Required
    @Arguments(title = "SCENARIO", description = "The scenario's INI file")
    private String file;

    @Override
    public void run(Console console) {
        Scenario scenario = ScenarioFiles.read(file);
        long lastChange = 0;
        try (AdminClient client = admin.createClient()) {
            for (Scenario.Organisation organisation : scenario.organisations()) {
                PlanId plan = PlanId.of("trial-" + organisation.name());
                set(client, ChangeEntry.AllowanceEntry.set(allowance(plan, organisation)));
                lastChange = set(client, ChangeEntry.PlanEntry.set(plan(plan, organisation)));
                console.out().println(organisation.name() + ": plan " + plan + " set by change " + lastChange);
            }
            Duration timeout = Duration.ofSeconds(waitSeconds);
            Rollout rollout = Rollout.await(client, lastChange, timeout, Ticker.systemTicker());
            if (!rollout.isInEffect()) {
                throw new CommandException(
                        ExitCode.WAIT_TIMED_OUT, "the changes are not in effect on: " + rollout.pending());
            }
        }
    }

    private static long set(AdminClient client, ChangeEntry entry) {
        String changeId = UUID.randomUUID().toString();
        return new Edit(entry, changeId, OptionalLong.empty()).send(client).number();
    }

    private Allowance allowance(PlanId plan, Scenario.Organisation organisation) {
        return new Allowance(
                plan,
                tokensPerMinute,
                maxConcurrent,
                LengthClass.HUGE.maxTokens(),
                (int) Math.max(1, Math.round(organisation.weight())),
                DEFAULT_TIMEOUT,
                MAX_TIMEOUT,
                ImmutableSet.of(),
                ImmutableSet.of());
    }

    private static Plan plan(PlanId plan, Scenario.Organisation organisation) {
        String hash = Hashing.sha256()
                .hashString(ScenarioFiles.readApiKey(organisation), StandardCharsets.UTF_8)
                .toString();
        return new Plan(organisation.name(), plan, ImmutableSet.of(hash));
    }
}
