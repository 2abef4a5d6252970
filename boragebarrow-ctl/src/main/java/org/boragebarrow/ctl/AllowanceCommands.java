package org.boragebarrow.ctl;

import java.time.Duration;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.decision.change.EntryKey;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.PlanId;
import org.boragebarrow.model.ServiceName;

/** The commands that edit and show allowances: what plans may use. */
final class AllowanceCommands {
    private static final Splitter COMMA_SPLITTER =
            Splitter.on(',').trimResults().omitEmptyStrings();

    private AllowanceCommands() {}

    /** Sets an allowance. */
    @Command(name = "set", description = "Sets what a plan may use")
    public static final class Set extends EditEntryCommand {
        @Required
        @Option(name = "--tokens-per-minute", title = "N", description = "Prompt and answer tokens a minute")
        private long tokensPerMinute;

        @Required
        @Option(name = "--max-concurrent", title = "N", description = "Requests in progress at once")
        private int maxConcurrent;

        @Required
        @Option(name = "--max-prompt-tokens", title = "N", description = "The longest prompt")
        private int maxPromptTokens;

        @Option(name = "--weight", title = "N", description = "The share in fair queueing (1)")
        private int weight = 1;

        @Option(
                name = "--default-timeout-ms",
                title = "MS",
                description = "The time limit of a request that names none (60000)")
        private int defaultTimeoutMillis = 60_000;

        @Option(
                name = "--max-timeout-ms",
                title = "MS",
                description = "The longest time limit that a request may ask for (600000)")
        private int maxTimeoutMillis = 600_000;

        @Option(name = "--models", title = "A,B", description = "The models that may be used; all when absent")
        private String models = "";

        @Option(name = "--services", title = "X,Y", description = "The services that may be called; all when absent")
        private String services = "";

        @Override
        ChangeEntry entry(String entryId) {
            return ChangeEntry.AllowanceEntry.set(new Allowance(
                    PlanId.of(entryId),
                    tokensPerMinute,
                    maxConcurrent,
                    maxPromptTokens,
                    weight,
                    Duration.ofMillis(defaultTimeoutMillis),
                    Duration.ofMillis(maxTimeoutMillis),
                    COMMA_SPLITTER.splitToStream(models).map(ModelId::of).collect(ImmutableSet.toImmutableSet()),
                    COMMA_SPLITTER
                            .splitToStream(services)
                            .map(ServiceName::of)
                            .collect(ImmutableSet.toImmutableSet())));
        }
    }

    /** Shows an allowance. */
    @Command(name = "get", description = "Shows what a plan may use, and the entry's version")
    public static final class Get extends GetEntryCommand {
        @Override
        EntryKey.Kind kind() {
            return EntryKey.Kind.ALLOWANCE;
        }
    }

    /** Deletes an allowance. */
    @Command(name = "delete", description = "Deletes what a plan may use, so that its organisations are refused")
    public static final class Delete extends EditEntryCommand {
        @Override
        ChangeEntry entry(String entryId) {
            return ChangeEntry.AllowanceEntry.deleted(PlanId.of(entryId));
        }
    }

    /** Lists the allowances. */
    @Command(name = "list", description = "Lists what all plans may use")
    public static final class List extends ListEntriesCommand {
        @Override
        EntryKey.Kind kind() {
            return EntryKey.Kind.ALLOWANCE;
        }
    }
}
