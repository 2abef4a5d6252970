package org.boragebarrow.decision.change;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.model.AvailabilityZoneId;

import static com.google.common.truth.Truth.assertThat;

class JsonChangeCodecTest {
    private static final ImmutableList<ChangeEntry> ENTRIES = ImmutableList.of(
            Changes.plan("kalibrasi", "gold"),
            Changes.deletedPlan("kalibrasi"),
            Changes.allowance("gold", 3),
            Changes.targetSwitch("engine-1", false),
            new ChangeEntry.ZoneEntry(AvailabilityZoneId.of("zone-1"), true),
            new ChangeEntry.ZoneEntry(AvailabilityZoneId.of("zone-1"), false),
            new ChangeEntry.ZoneEntry(AvailabilityZoneId.of("zone-2"), true));

    private final ChangeCodec codec = new JsonChangeCodec();

    @Example
    void aChangeIsUnchangedAfterEncodingAndDecoding() {
        long number = 0;
        for (ChangeEntry entry : ENTRIES) {
            Change change = new Change(++number, "id-" + number, entry);
            assertThat(codec.decode(codec.encode(change))).isEqualTo(change);
        }
    }

    @Example
    void aStateIsUnchangedAfterEncodingAndDecoding() {
        ChangeState state = ChangeState.empty();
        for (ChangeEntry entry : ENTRIES) {
            state = state.apply(new Change(state.number() + 1, "id", entry));
        }
        assertThat(codec.decodeState(codec.encodeState(state))).isEqualTo(state);
    }

    @Example
    void theEncodingDoesNotDependOnTheOrderOfFieldsAndKeyHashes() {
        String forward = "{\"plan\":\"gold\",\"keyHashes\":[\"%s\",\"%s\"]}".formatted("a".repeat(64), "b".repeat(64));
        String backward = "{\"keyHashes\":[\"%s\",\"%s\"],\"plan\":\"gold\"}".formatted("b".repeat(64), "a".repeat(64));
        assertThat(JsonChangeCodec.encodeValue(decodeValue(forward)))
                .isEqualTo(JsonChangeCodec.encodeValue(decodeValue(backward)));
    }

    @Example
    void anErrorNamesTheInvalidField() {
        assertRefused("{\"plan\":7,\"keyHashes\":[]}", "plan: not a string");
        assertRefused("{\"keyHashes\":[]}", "plan: missing");
        assertRefused("{\"plan\":\"gold\",\"keyHashes\":[\"secret\"]}", "keyHashes: not a lower-case");
        assertRefused("{\"plan\":\"gold\",\"keyHashes\":[],\"extra\":1}", "extra: unknown field");
        assertRefused("[]", "not a JSON object");
        assertRefused("{", "not JSON");
    }

    private static ChangeEntry decodeValue(String json) {
        return JsonChangeCodec.decodeValue(Changes.plan("kalibrasi", "gold").key(), json);
    }

    private static void assertRefused(String json, String message) {
        try {
            decodeValue(json);
        } catch (IllegalArgumentException e) {
            assertThat(e).hasMessageThat().contains(message);
            return;
        }
        throw new AssertionError("accepted: " + json);
    }
}
