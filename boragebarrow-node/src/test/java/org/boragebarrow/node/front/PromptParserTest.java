package org.boragebarrow.node.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.RequestException;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class PromptParserTest {
    private static final String VALID_BODY =
            "{\"model\":\"m\",\"prompt\":\"h\u00e9\",\"max_tokens\":7,\"stream\":true}";

    private static ParsedPrompt parse(byte[] body, boolean chat) {
        return PromptParser.parse(ImmutableList.of(ByteBuffer.wrap(body)), chat);
    }

    private static ParsedPrompt parse(String body) {
        return parse(body.getBytes(StandardCharsets.UTF_8), false);
    }

    private static void assertRefused(byte[] body, boolean chat, String reason) {
        try {
            parse(body, chat);
        } catch (RequestException e) {
            assertThat(e.kind()).isEqualTo(ErrorKind.BAD_REQUEST);
            assertThat(e).hasMessageThat().contains(reason);
            return;
        }
        assertWithMessage("accepted").fail();
    }

    private static void assertRefused(String body, String reason) {
        assertRefused(body.getBytes(StandardCharsets.UTF_8), false, reason);
    }

    @Example
    void theFieldsOfAPromptAreRead() {
        ParsedPrompt prompt = parse(VALID_BODY);
        assertThat(prompt.model().value()).isEqualTo("m");
        assertThat(prompt.textBytes()).isEqualTo(3);
        assertThat(prompt.maxTokens()).isEqualTo(7);
        assertThat(prompt.stream()).isTrue();
    }

    @Example
    void aBodyInManyPartsIsParsedAsOne() {
        ImmutableList.Builder<ByteBuffer> parts = ImmutableList.builder();
        for (byte single : VALID_BODY.getBytes(StandardCharsets.UTF_8)) {
            parts.add(ByteBuffer.wrap(new byte[] {single}));
        }
        assertThat(PromptParser.parse(parts.build(), false)).isEqualTo(parse(VALID_BODY));
    }

    @Example
    void otherFieldsAreIgnored() {
        assertThat(parse("{\"x\":[{\"y\":1e999}],\"model\":\"m\",\"prompt\":\"p\"}")
                        .maxTokens())
                .isEqualTo(256);
    }

    @Example
    void anEmptyBodyIsRefused() {
        assertRefused("", "not a JSON object");
    }

    @Example
    void aBodyWithoutPartsIsRefused() {
        try {
            PromptParser.parse(ImmutableList.of(), false);
        } catch (RequestException e) {
            assertThat(e.kind()).isEqualTo(ErrorKind.BAD_REQUEST);
            return;
        }
        assertWithMessage("accepted").fail();
    }

    @Example
    void brokenJsonIsRefused() {
        assertRefused("{\"model\":\"m\",", "not valid JSON");
    }

    @Example
    void anArrayIsRefused() {
        assertRefused("[]", "not a JSON object");
    }

    @Example
    void bytesAfterTheObjectAreRefused() {
        assertRefused(VALID_BODY + " {}", "content after the JSON object");
        assertRefused(VALID_BODY + "x", "not valid JSON");
    }

    @Example
    void aRepeatedFieldIsRefused() {
        assertRefused("{\"model\":\"m\",\"model\":\"n\",\"prompt\":\"p\"}", "Duplicate");
    }

    @Example
    void aMissingModelIsRefused() {
        assertRefused("{\"prompt\":\"p\"}", "model is missing");
    }

    @Example
    void aMissingPromptIsRefused() {
        assertRefused("{\"model\":\"m\"}", "prompt is missing");
    }

    @Example
    void wrongTypesAreRefused() {
        assertRefused("{\"model\":1,\"prompt\":\"p\"}", "model is not a string");
        assertRefused("{\"model\":\"m\",\"prompt\":null}", "prompt is not a string");
        assertRefused("{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}", "stream is not a boolean");
        assertRefused("{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":\"7\"}", "max_tokens is not");
    }

    @Example
    void numbersOutOfRangeAreRefused() {
        for (String number : ImmutableList.of("0", "-1", "1.5", "1e3", "1048577", "99999999999", "9".repeat(900))) {
            assertRefused("{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":" + number + "}", "max_tokens is not");
        }
    }

    @Example
    void aVeryLongNumberIsRefused() {
        String number = "9".repeat(100_000);
        assertRefused("{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":" + number + "}", "not valid JSON");
    }

    @Example
    void veryDeepNestingIsRefused() {
        assertRefused("{\"x\":" + "[".repeat(100_000), "not valid JSON");
    }

    @Example
    void textThatIsNotUtf8IsRefused() {
        byte[] body = "{\"model\":\"m\",\"prompt\":\"\u00ff\u00fe\"}".getBytes(StandardCharsets.ISO_8859_1);
        assertRefused(body, false, "not valid JSON");
    }

    @Example
    void anUnpairedSurrogateIsRefused() {
        assertRefused("{\"model\":\"m\",\"prompt\":\"\\ud800\"}", "surrogate");
    }

    @Example
    void anInvalidModelNameIsRefused() {
        assertRefused("{\"model\":\"a\\nb\",\"prompt\":\"p\"}", "printable");
        assertRefused("{\"model\":\"" + "m".repeat(10_000) + "\",\"prompt\":\"p\"}", "printable");
    }

    @Example
    void theTextOfAllChatMessagesIsCounted() {
        String body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"},"
                + "{\"role\":\"user\",\"content\":\"ho\"}]}";
        assertThat(parse(body.getBytes(StandardCharsets.UTF_8), true).textBytes())
                .isEqualTo(12);
    }

    @Example
    void invalidMessagesAreRefused() {
        for (String messages : ImmutableList.of("\"hi\"", "[1]", "[{\"content\":[]}]", "[[]]", "{}")) {
            String body = "{\"model\":\"m\",\"messages\":" + messages + "}";
            assertRefused(body.getBytes(StandardCharsets.UTF_8), true, "not a");
        }
    }

    @Property(seed = "11", tries = 2_000)
    void corruptedBodiesAreAcceptedOrRefusedAsBadRequests(@ForAll Random random, @ForAll boolean chat) {
        byte[] body = VALID_BODY.getBytes(StandardCharsets.UTF_8);
        for (int remaining = random.nextInt(4); remaining >= 0; remaining--) {
            body[random.nextInt(body.length)] = (byte) random.nextInt(256);
        }
        try {
            assertThat(parse(body, chat).maxTokens()).isGreaterThan(0);
        } catch (RequestException e) {
            assertThat(e.kind()).isEqualTo(ErrorKind.BAD_REQUEST);
        }
    }
}
