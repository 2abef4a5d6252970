package org.boragebarrow.ctl.admin;

import java.util.OptionalLong;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.net.UrlEscapers;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.decision.change.EntryKey;
import org.boragebarrow.decision.change.JsonChangeCodec;
import org.boragebarrow.http.client.HttpAnswer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An edit of one entry.
 *
 * @param changeId identifies the edit, so that repeats of it are applied once
 * @param ifMatch the version that the entry must have; 0 for an entry that must not exist yet, empty for any version
 */
public record Edit(ChangeEntry entry, String changeId, OptionalLong ifMatch) {
    public Edit {
        checkNotNull(entry);
        checkNotNull(changeId);
        checkArgument(ifMatch.orElse(0) >= 0, "negative version: %s", ifMatch);
    }

    /** Returns the path of an entry, or of all entries of a kind if the id is empty. */
    public static String path(EntryKey.Kind kind, String id) {
        String collection = switch (kind) {
            case PLAN -> "plans";
            case ALLOWANCE -> "allowances";
            case SWITCH -> "targets";
            case ZONE -> "zones";
        };
        String collectionPath = "/admin/v1/" + collection;
        return id.isEmpty()
                ? collectionPath
                : collectionPath + "/" + UrlEscapers.urlPathSegmentEscaper().escape(id);
    }

    /** Sends the edit and returns the accepted change. */
    public AcceptedChange send(AdminClient client) {
        String path = path(entry.key().kind(), entry.key().id());
        HttpAnswer answer = switch (entry) {
            case ChangeEntry.SwitchEntry switchEntry
            when switchEntry.value().isPresent() ->
                client.edit(
                        "POST", path + switchAction(switchEntry.value().get().started()), headers(), "");
            default ->
                entry.isDeletion()
                        ? client.edit("DELETE", path, headers(), "")
                        : client.edit("PUT", path, headers(), JsonChangeCodec.encodeValue(entry));
        };
        return new AcceptedChange(
                EntityTags.version(answer), changeId, answer.text().strip());
    }

    private static String switchAction(boolean started) {
        return started ? "/start" : "/stop";
    }

    private ImmutableListMultimap<String, String> headers() {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        headers.put("change-id", changeId);
        if (ifMatch.isEmpty()) {
            return headers.build();
        }
        if (ifMatch.getAsLong() == 0) {
            headers.put("if-none-match", "*");
        } else {
            headers.put("if-match", EntityTags.of(ifMatch.getAsLong()));
        }
        return headers.build();
    }
}
