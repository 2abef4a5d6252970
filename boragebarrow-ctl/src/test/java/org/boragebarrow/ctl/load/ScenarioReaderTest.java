package org.boragebarrow.ctl.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class ScenarioReaderTest {
    private static ImmutableList<String> problems(String text) {
        try {
            ScenarioReader.read(text);
            return ImmutableList.of();
        } catch (ScenarioException e) {
            return e.problems().stream().map(ScenarioProblem::toString).collect(ImmutableList.toImmutableList());
        }
    }

    @Example
    void allProblemsAreReportedAtOnceWithSectionAndKey() {
        String text =
                "[run]\nseed = x\nentry = nowhere\n[organisation a]\nshare = -1\n[class c]\nprompt-tokens = 9..2\n";
        assertThat(problems(text))
                .containsExactly(
                        "[run] seconds: missing",
                        "[run] seed: not a whole number: \"x\"",
                        "[run] entry: no port: \"nowhere\"",
                        "[rate] base: missing",
                        "[organisation a] key: missing",
                        "[organisation a] share: not a non-negative number: \"-1\"",
                        "[class c] prompt-tokens: not a range of positive numbers: 9..2");
    }

    @Example
    void unknownKeysAndSectionsAreProblems() {
        assertThat(problems(Scenarios.text("speed = 3", "[rate]\nbase = 1\n[gremlin]\nx = 1\n")))
                .containsExactly("[run] speed: unknown key", "[gremlin] : unknown section");
    }

    @Example
    void aKeyThatIsSetTwiceIsAProblem() {
        assertThat(problems(Scenarios.text("", "[rate]\nbase = 1\nbase = 2\n")))
                .containsExactly("[rate] base: set more than once");
    }

    @Example
    void anApiKeyMustNameItsSource() {
        String text = Scenarios.text("", "[rate]\nbase = 1\n[organisation c]\nkey = plain\n");
        assertThat(problems(text))
                .containsExactly("[organisation c] key: key must be given as file:PATH, env:NAME or trial:KEY");
    }

    @Example
    void onlyMustNameAClassOrService() {
        assertThat(problems(Scenarios.text("only = short, middling", "[rate]\nbase = 1\n")))
                .containsExactly("[run] only: neither a class nor a service: \"middling\"");
    }

    @Example
    void theScenariosOfTheProjectAreValid() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("..", "config", "scenarios"))) {
            ImmutableList<Path> all = files.collect(ImmutableList.toImmutableList());
            assertThat(all).isNotEmpty();
            for (Path file : all) {
                assertThat(problems(Files.readString(file))).isEmpty();
            }
        }
    }
}
