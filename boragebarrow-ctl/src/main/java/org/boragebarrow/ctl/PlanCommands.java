package org.boragebarrow.ctl;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.decision.change.EntryKey;
import org.boragebarrow.decision.change.JsonChangeCodec;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Plan;
import org.boragebarrow.model.PlanId;

import static com.google.common.base.Preconditions.checkArgument;

/** The commands that edit and show the plans of organisations. */
final class PlanCommands {
    private PlanCommands() {}

    /** Sets a plan. */
    @Command(name = "set", description = "Sets the plan of an organisation and the keys that it authenticates with")
    public static final class Set extends EditEntryCommand {
        @Required
        @Option(name = "--plan", title = "NAME", description = "The plan")
        private String plan;

        @Option(
                name = "--key-hash",
                title = "HASH",
                description = "The lower-case hexadecimal SHA-256 hash of a key; can be repeated")
        private java.util.List<String> hashes = new ArrayList<>();

        @Option(
                name = "--key",
                title = "PLACE",
                description = "A key, file:PATH or env:NAME, of which only the hash is sent; can be repeated")
        private java.util.List<String> keys = new ArrayList<>();

        @Override
        ChangeEntry entry(String entryId) {
            ImmutableSet.Builder<String> builder = ImmutableSet.builder();
            builder.addAll(hashes);
            for (String source : keys) {
                String key = Secrets.read(source);
                builder.add(
                        Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString());
            }
            ImmutableSet<String> keyHashes = builder.build();
            checkArgument(!keyHashes.isEmpty(), "neither --key-hash nor --key is given");
            ChangeEntry entry =
                    ChangeEntry.PlanEntry.set(new Plan(OrganisationId.of(entryId), PlanId.of(plan), keyHashes));
            return JsonChangeCodec.decodeValue(entry.key(), JsonChangeCodec.encodeValue(entry));
        }
    }

    /** Shows a plan. */
    @Command(name = "get", description = "Shows the plan of an organisation and its version")
    public static final class Get extends GetEntryCommand {
        @Override
        EntryKey.Kind kind() {
            return EntryKey.Kind.PLAN;
        }
    }

    /** Deletes a plan. */
    @Command(name = "delete", description = "Deletes the plan of an organisation, so that its keys are refused")
    public static final class Delete extends EditEntryCommand {
        @Override
        ChangeEntry entry(String entryId) {
            return ChangeEntry.PlanEntry.deleted(OrganisationId.of(entryId));
        }
    }

    /** Lists the plans. */
    @Command(name = "list", description = "Lists the plans of all organisations")
    public static final class List extends ListEntriesCommand {
        @Override
        EntryKey.Kind kind() {
            return EntryKey.Kind.PLAN;
        }
    }
}
