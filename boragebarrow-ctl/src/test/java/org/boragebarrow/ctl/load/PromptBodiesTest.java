package org.boragebarrow.ctl.load;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.standins.engine.TokenTexts;

import static com.google.common.truth.Truth.assertThat;

class PromptBodiesTest {
    private static final String RATE = "[rate]\nbase = 1\n";

    private static byte[] bytes(List<ByteBuffer> parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (ByteBuffer part : parts) {
            byte[] bytes = new byte[part.remaining()];
            part.duplicate().get(bytes);
            all.writeBytes(bytes);
        }
        return all.toByteArray();
    }

    private static ImmutableList<Arrival> prompts(Scenario scenario) {
        return ArrivalPlan.of(scenario);
    }

    private static ImmutableList<ByteBuffer> body(Scenario scenario, Arrival arrival) {
        return new PromptBodies(scenario.run()).of(arrival, (Arrival.Prompt) arrival.work());
    }

    private static String prompt(Scenario scenario, Arrival arrival) throws IOException {
        JsonNode json = new ObjectMapper().readTree(bytes(body(scenario, arrival)));
        return json.path("prompt").asText();
    }

    @Example
    void aPromptHasFourBytesForEachToken() throws IOException {
        Scenario scenario = Scenarios.of("", RATE);
        Arrival arrival = prompts(scenario).get(0);
        int tokens = ((Arrival.Prompt) arrival.work()).promptTokens();
        assertThat(prompt(scenario, arrival).length()).isAtLeast(4 * tokens);
        assertThat(prompt(scenario, arrival).length()).isAtMost(4 * tokens + 100);
    }

    @Example
    void aLongPromptIsSentAsAShortBodyWhenLengthsAreDeclared() {
        Scenario scenario = Scenarios.of("declare-tokens = true\nmax-body-bytes = 1000\n", RATE);
        prompts(scenario)
                .forEach(each -> assertThat(bytes(body(scenario, each)).length).isLessThan(1_200));
    }

    @Example
    void promptsOfAnOrganisationShareOnlyTheirPrefix() throws IOException {
        Scenario scenario = Scenarios.of("declare-tokens = true\nmax-body-bytes = 800\n", RATE);
        ImmutableList<Arrival> arrivals = prompts(scenario).stream()
                .filter(each -> each.organisation().name().value().equals("a"))
                .collect(ImmutableList.toImmutableList());
        String first = prompt(scenario, arrivals.get(0));
        String second = prompt(scenario, arrivals.get(1));
        int common = Strings.commonPrefix(first, second).length();
        assertThat(common).isAtLeast(400);
        assertThat(common).isAtMost(450);
    }

    @Example
    void theExpectedAnswerIsThatOfTheStandInEngines() {
        Scenario scenario = Scenarios.simple();
        Arrival arrival = prompts(scenario).get(0);
        long hash = TokenTexts.bodyHash(bytes(body(scenario, arrival)));
        assertThat(ExpectedAnswers.text(body(scenario, arrival), 50)).isEqualTo(TokenTexts.completeText(hash, 50));
    }
}
