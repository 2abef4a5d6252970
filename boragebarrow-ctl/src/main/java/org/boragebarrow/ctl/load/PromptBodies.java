package org.boragebarrow.ctl.load;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.ModelId;

/**
 * Builds the bodies of completion requests: the organisation's common prefix, the id of the request and filler text.
 *
 * <p>The filler is a view of one shared buffer, so that long prompts need no additional memory. Thread-safe.
 */
final class PromptBodies {
    private static final int BYTES_PER_TOKEN = 4;
    private static final int FILLER_BYTES = 1 << 16;
    private static final int ALPHABET_SIZE = 26;
    private static final int WORD_BYTES = 8;

    private final Scenario.Run run;
    private final ByteBuffer filler;

    PromptBodies(Scenario.Run run) {
        this.run = run;
        this.filler = filler(new SplittableRandom(run.seed()));
    }

    private static ByteBuffer filler(SplittableRandom random) {
        byte[] bytes = new byte[FILLER_BYTES];
        for (int i = 0; i < bytes.length; i++) {
            boolean endsWord = i % WORD_BYTES == WORD_BYTES - 1;
            bytes[i] = endsWord ? (byte) ' ' : (byte) ('a' + random.nextInt(ALPHABET_SIZE));
        }
        return ByteBuffer.wrap(bytes).asReadOnlyBuffer();
    }

    ModelId model() {
        return run.model();
    }

    ImmutableList<ByteBuffer> of(Arrival arrival, Arrival.Prompt prompt) {
        int textBytes = textBytes(prompt);
        int prefixBytes = (int) (textBytes * arrival.organisation().prefixFraction());
        ImmutableList.Builder<ByteBuffer> parts = ImmutableList.builder();
        parts.add(utf8("{\"model\":\"" + escaped(run.model().value()) + "\",\"stream\":true,\"prompt\":\""));
        parts.add(utf8(escaped(arrival.organisation().name().value()) + " "));
        addFiller(parts, prefixBytes);
        parts.add(utf8(" request " + escaped(arrival.id()) + " "));
        addFiller(parts, textBytes - prefixBytes);
        parts.add(utf8("\",\"max_tokens\":" + prompt.maxTokens() + "}"));
        return parts.build();
    }

    private int textBytes(Arrival.Prompt prompt) {
        int bytes = prompt.promptTokens() * BYTES_PER_TOKEN;
        return run.declareTokens() ? Math.min(bytes, run.maxBodyBytes()) : bytes;
    }

    private void addFiller(ImmutableList.Builder<ByteBuffer> parts, int bytes) {
        for (int remaining = bytes; remaining > 0; remaining -= FILLER_BYTES) {
            parts.add(filler.slice(0, Math.min(remaining, FILLER_BYTES)));
        }
    }

    private static String escaped(String text) {
        return new String(JsonStringEncoder.getInstance().quoteAsString(text));
    }

    private static ByteBuffer utf8(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
