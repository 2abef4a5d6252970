package org.boragebarrow.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import net.jqwik.api.Example;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.standins.engine.EngineSettings;
import org.boragebarrow.standins.engine.EngineStandin;

import static com.google.common.truth.Truth.assertThat;

class LoadCommandTest {
    private static final String SCENARIO = """
            [run]
            seconds = 0.5
            seed = 3
            entry = 127.0.0.1:1
            engines = %s
            [rate]
            base = 40
            [organisation a]
            key = trial:key-a
            [class short]
            prompt-tokens = 10..50
            max-tokens = 3..5
            """;

    private final CommandRunner runner = new CommandRunner();

    private static Path scenario(String engines) throws IOException {
        return Files.writeString(Files.createTempFile("scenario", ".ini"), SCENARIO.formatted(engines));
    }

    @Example
    void allAnswersOfAnEngineAreCorrectAndReported() throws IOException {
        Path out = Files.createTempDirectory("load");
        EngineSettings settings = EngineSettings.defaults();
        try (EngineStandin engine =
                EngineStandin.start(TargetId.of("engine"), Endpoint.of("127.0.0.1", 0), settings, 1)) {
            Path file = scenario(engine.endpoint().toString());
            ExitCode code =
                    runner.run("load", file.toString(), "--policy", "least-load", "--strict", "--out", out.toString());
            assertThat(runner.err()).doesNotContain("error");
            assertThat(code).isEqualTo(ExitCode.OK);
        }
        assertThat(runner.out()).contains("1.0000 of the offered tokens");
        assertThat(Files.readString(out.resolve("summary.csv"))).contains("SHORT,a,");
        assertThat(Files.readString(out.resolve("first-token.svg"))).contains("<svg");
    }

    @Example
    void aStrictRunFailsWhenHostsDoNotRespond() throws IOException {
        assertThat(runner.run("load", scenario("").toString(), "--strict")).isEqualTo(ExitCode.FAILED);
    }

    @Example
    void aFaultyScenarioIsAUsageErrorThatNamesEachProblem() throws IOException {
        Path file = Files.writeString(Files.createTempFile("scenario", ".ini"), "[run]\nseed = x\n");
        assertThat(runner.run("load", file.toString())).isEqualTo(ExitCode.USAGE);
        assertThat(runner.err()).contains("[run] seconds: missing");
        assertThat(runner.err()).contains("[run] seed: not a whole number");
    }

    @Example
    void anUnknownPolicyIsAUsageError() throws IOException {
        assertThat(runner.run("load", scenario("").toString(), "--policy", "magic"))
                .isEqualTo(ExitCode.USAGE);
    }
}
