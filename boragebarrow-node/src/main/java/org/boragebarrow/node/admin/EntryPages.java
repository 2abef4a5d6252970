package org.boragebarrow.node.admin;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import org.boragebarrow.decision.change.Change;
import org.boragebarrow.decision.change.ChangeEntry;
import org.boragebarrow.decision.change.ChangeState;
import org.boragebarrow.decision.change.EntryKey;
import org.boragebarrow.decision.change.JsonChangeCodec;
import org.boragebarrow.model.ErrorKind;

/** Writes entries as JSON for the operators' API. */
final class EntryPages {
    private static final ObjectMapper JSON = new ObjectMapper();

    private EntryPages() {}

    static String list(ChangeState state, EntryKey.Kind kind) {
        ObjectNode page = JSON.createObjectNode();
        page.put("change", state.number());
        ArrayNode entries = page.putArray("entries");
        for (Map.Entry<EntryKey, Long> version : state.versions().entrySet()) {
            EntryKey key = version.getKey();
            if (key.kind() == kind) {
                addEntry(entries.addObject(), key, version.getValue(), state.entryOf(key));
            }
        }
        return page + "\n";
    }

    private static void addEntry(ObjectNode node, EntryKey key, long version, ChangeEntry entry) {
        node.put("id", key.id());
        node.put("version", version);
        node.putRawValue("value", new RawValue(JsonChangeCodec.encodeValue(entry)));
    }

    static String conflict(EntryKey key, String message, Optional<Change> present) {
        ObjectNode page = JSON.createObjectNode();
        ObjectNode error = page.putObject("error");
        error.put("kind", ErrorKind.VERSION_CONFLICT.name());
        error.put("message", message);
        error.put("ran", ErrorKind.VERSION_CONFLICT.executionStatus().name().toLowerCase(Locale.ROOT));
        error.put("retryable", ErrorKind.VERSION_CONFLICT.retryable());
        present.ifPresent(change -> addEntry(page.putObject("present"), key, change.number(), change.entry()));
        return page + "\n";
    }
}
