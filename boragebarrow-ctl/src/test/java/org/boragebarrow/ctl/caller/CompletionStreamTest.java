package org.boragebarrow.ctl.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.truth.Truth.assertThat;

class CompletionStreamTest implements AnswerListener {
    private static final String TOKENS =
            "data: {\"choices\":[{\"text\":\"a \"}]}\n\ndata: {\"choices\":[{\"text\":\"b \"}]}\n\n";
    private static final String DONE = "data: [DONE]\n\n";

    private final List<String> tokens = new ArrayList<>();
    private final List<AnswerEnd> ends = new ArrayList<>();
    private final CompletionStream stream = new CompletionStream(RequestId.of("r1"), this);

    @Override
    public void onToken(String text) {
        tokens.add(text);
    }

    @Override
    public void onEnd(AnswerEnd end) {
        ends.add(end);
    }

    private static String usage(int count) {
        return "data: {\"choices\":[{\"text\":\"\"}],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":" + count
                + "}}\n\n";
    }

    private void head(int status) {
        stream.onHead(status, ImmutableListMultimap.of("Content-Type", "text/event-stream"));
    }

    private void body(String text) {
        stream.onBody(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private void answer(int status, String text) {
        head(status);
        body(text);
        stream.onEnd();
    }

    @Example
    void anAnswerWithItsEndEventIsComplete() {
        answer(200, TOKENS + usage(2) + DONE);
        assertThat(tokens).containsExactly("a ", "b ").inOrder();
        assertThat(ends).containsExactly(new AnswerEnd.Complete(2, 7));
    }

    @Property(seed = "3", tries = 100)
    void anAnswerIsTheSameHoweverItsBytesAreSplit(@ForAll @IntRange(min = 1, max = 40) int size) {
        // jqwik runs all tries of a property on one instance of the test class.
        CompletionStreamTest fresh = new CompletionStreamTest();
        String text = TOKENS + usage(2) + DONE;
        fresh.head(200);
        for (int i = 0; i < text.length(); i += size) {
            fresh.body(text.substring(i, Math.min(text.length(), i + size)));
        }
        fresh.stream.onEnd();
        assertThat(fresh.tokens).containsExactly("a ", "b ").inOrder();
        assertThat(fresh.ends).containsExactly(new AnswerEnd.Complete(2, 7));
    }

    @Example
    void anAnswerWithoutItsEndEventIsCut() {
        answer(200, TOKENS + usage(2));
        assertThat(ends.get(0)).isInstanceOf(AnswerEnd.Cut.class);
    }

    @Example
    void anAnswerWithAWrongTokenCountIsCut() {
        answer(200, TOKENS + usage(3) + DONE);
        assertThat(ends.get(0)).isInstanceOf(AnswerEnd.Cut.class);
    }

    @Example
    void anErrorEventEndsTheAnswerAsFailed() {
        answer(200, TOKENS + "event: error\ndata: {\"error\":{\"kind\":\"TIMED_OUT\",\"message\":\"m\"}}\n\n");
        assertThat(ends).containsExactly(new AnswerEnd.Failed("TIMED_OUT", "m"));
    }

    @Example
    void aRefusalReportsItsKindAndWhetherTheRequestRan() {
        answer(503, "{\"error\":{\"kind\":\"OVERLOADED\",\"ran\":\"no\",\"message\":\"m\"}}");
        assertThat(ends).containsExactly(new AnswerEnd.Refused(503, "OVERLOADED", "no", "m"));
    }

    @Example
    void aRefusalThatIsNotJsonReportsItsStatus() {
        answer(502, "bad gateway");
        assertThat(ends).containsExactly(new AnswerEnd.Refused(502, "STATUS_502", "", "bad gateway"));
    }

    @Example
    void aFailureToConnectIsReportedAsNotSent() {
        stream.onFailure(TargetFailure.notSent("refused"));
        assertThat(ends).containsExactly(new AnswerEnd.Cut(false, "refused"));
    }

    @Example
    void aFailureAfterTheEndEventIsIgnored() {
        head(200);
        body(TOKENS + usage(2) + DONE);
        stream.onFailure(TargetFailure.broken("reset"));
        assertThat(ends).containsExactly(new AnswerEnd.Complete(2, 7));
    }
}
