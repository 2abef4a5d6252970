package org.boragebarrow.ctl.load;

/** Static functions that create scenarios for tests. */
final class Scenarios {
    private Scenarios() {}

    static String text(String run, String rest) {
        return """
                [run]
                seconds = 100
                seed = 7
                entry = 127.0.0.1:7101
                %s
                [organisation a]
                key = trial:key-a
                share = 3
                prefix-share = 0.5
                [organisation b]
                key = trial:key-b
                [class short]
                weight = 9
                prompt-tokens = 200..4000
                max-tokens = 4
                timeout-ms = 1000
                [class long]
                weight = 1
                prompt-tokens = 100001..300000
                %s
                """.formatted(run, rest);
    }

    static Scenario of(String run, String rest) {
        return ScenarioReader.read(text(run, rest));
    }

    static Scenario simple() {
        return of("declare-tokens = true", "[rate]\nbase = 10\n");
    }
}
