package org.boragebarrow.ctl.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.base.Enums;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.boragebarrow.ctl.CommandException;
import org.boragebarrow.ctl.Console;
import org.boragebarrow.ctl.CtlCommand;
import org.boragebarrow.ctl.ExitCode;
import org.boragebarrow.ctl.caller.CallerClient;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.http.engine.HttpEngineClient;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.OrganisationId;

/** Sends the load of a scenario and reports outcomes, latencies and shares. */
@Command(name = "load", description = "Sends a scenario's load, checks each answer and reports times and shares")
public final class LoadCommand implements CtlCommand {
    private static final int EVENT_LOOP_THREADS = 4;

    @Required
    @Arguments(title = "SCENARIO", description = "The scenario's INI file")
    private String file;

    @Option(
            name = "--policy",
            title = "POLICY",
            description = "system: through the entry hosts; round-robin or least-load: straight to the engines")
    private String policy = "system";

    @Option(name = "--only", title = "A,B", description = "Sends only these classes and services, at the same times")
    private String only = "";

    @Option(name = "--out", title = "DIRECTORY", description = "Writes summary.csv, seconds.csv and plots into it")
    private String out;

    @Option(
            name = "--reference",
            title = "FILE",
            description = "The summary.csv of an earlier run, to which this run's times are compared")
    private String reference;

    @Option(name = "--strict", description = "Fails with exit code 1 if any answer was cut, wrong or late")
    private boolean strict;

    @Override
    public void run(Console console) {
        Policy chosen = policy();
        Scenario scenario = scenario(chosen);
        Optional<ImmutableList<String>> referenceTable =
                Optional.ofNullable(reference).map(LoadCommand::lines);
        ImmutableList<Arrival> plan = ArrivalPlan.of(scenario);
        console.err()
                .println("sending " + plan.size() + " requests within "
                        + scenario.run().duration().toSeconds() + " s");
        LoadStatistics statistics = LoadStatistics.of(scenario, send(scenario, plan, chosen));
        LoadReport report = new LoadReport(statistics);
        report.print(console.out());
        ImmutableList<String> table = SummaryTable.csv(statistics);
        referenceTable.ifPresent(lines -> SummaryTable.slowdowns(table, lines).forEach(console.out()::println));
        Optional.ofNullable(out).ifPresent(directory -> write(report, directory));
        if (strict) {
            report.checkAllCorrect();
        }
    }

    private Policy policy() {
        String name = policy.replace('-', '_').toUpperCase(Locale.ROOT);
        return Enums.getIfPresent(Policy.class, name)
                .toJavaUtil()
                .orElseThrow(() -> new CommandException(ExitCode.USAGE, "--policy: unknown policy: " + policy));
    }

    private Scenario scenario(Policy chosen) {
        Scenario scenario = ScenarioFiles.read(file).restrictedTo(ScenarioValues.names(only));
        if (chosen == Policy.SYSTEM) {
            return scenario;
        }
        if (scenario.run().engines().isEmpty()) {
            throw new CommandException(
                    ExitCode.USAGE, file + ":\n[run] engines: missing, but required for this --policy");
        }
        return scenario.withoutServices();
    }

    private static ImmutableList<String> lines(String path) {
        try {
            return ImmutableList.copyOf(Files.readAllLines(Path.of(path)));
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, "cannot read " + path + ": " + e);
        }
    }

    private static void write(LoadReport report, String directory) {
        try {
            report.write(Path.of(directory));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ImmutableList<Result> send(Scenario scenario, ImmutableList<Arrival> plan, Policy chosen) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
        try (HttpClient client = new HttpClient(group)) {
            Sender sender = sender(scenario, client, chosen);
            return new LoadRun(
                            plan,
                            sender,
                            group,
                            Ticker.systemTicker(),
                            scenario.run().grace())
                    .run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted while sending the load");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static Sender sender(Scenario scenario, HttpClient client, Policy chosen) {
        PromptBodies bodies = new PromptBodies(scenario.run());
        // Request and attempt ids must differ between runs: targets would treat equal ids as retries of an earlier run.
        long startMillis = System.currentTimeMillis();
        if (chosen == Policy.SYSTEM) {
            String runId = "run-" + startMillis;
            return new EntrySender(new CallerClient(client), scenario.run(), runId, bodies, apiKeys(scenario));
        }
        HostIncarnation self = HostIncarnation.of(HostId.of("load"), IncarnationNumber.of(startMillis));
        return new EngineSender(
                new HttpEngineClient(client), self, chosen, scenario.run().engines(), bodies);
    }

    private static ImmutableMap<OrganisationId, String> apiKeys(Scenario scenario) {
        return scenario.organisations().stream()
                .collect(ImmutableMap.toImmutableMap(Scenario.Organisation::name, ScenarioFiles::readApiKey));
    }
}
