package org.boragebarrow.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static com.google.common.truth.Truth.assertThat;

class BoragebarrowctlTest {
    private static final String HASH = "a".repeat(64);

    private final FakeAdmin admin = new FakeAdmin();
    private final CommandRunner runner = new CommandRunner();
    private final Path token = file(FakeAdmin.TOKEN + "\n");

    @AfterTry
    void close() throws IOException {
        admin.close();
        Files.delete(token);
    }

    private static Path file(String text) {
        try {
            return Files.writeString(Files.createTempFile("secret", ".txt"), text);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private ExitCode run(String... arguments) {
        List<String> command = new ArrayList<>(Arrays.asList(arguments));
        command.addAll(List.of("--admin", admin.address(), "--token", "file:" + token));
        return runner.run(command.toArray(new String[0]));
    }

    private ExitCode setPlan(String... options) {
        List<String> command = new ArrayList<>(List.of("plan", "set", "org1", "--plan", "gold", "--key-hash", HASH));
        command.addAll(Arrays.asList(options));
        return run(command.toArray(new String[0]));
    }

    @Example
    void aPlanThatWasSetIsShownWithItsVersion() {
        assertThat(setPlan()).isEqualTo(ExitCode.OK);
        assertThat(run("plan", "get", "org1")).isEqualTo(ExitCode.OK);
        assertThat(runner.out()).contains("org1 version 1: {\"plan\":\"gold\",\"keyHashes\":[\"" + HASH + "\"]}");
    }

    @Example
    void aKeyIsSentAsItsHashOnly() throws IOException {
        Path key = file("caller-key\n");
        ExitCode code = run("plan", "set", "org1", "--plan", "gold", "--key", "file:" + key);
        Files.delete(key);
        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(runner.out()).contains("d9f376b9bf894cc2c24e74981b01839a2dcf84bf07c5bb6bea376e90c4c7ae81");
        assertThat(runner.out()).doesNotContain("caller-key");
    }

    @Example
    void anAllowanceThatWasSetIsListed() {
        ExitCode code = run(
                "allowance",
                "set",
                "gold",
                "--tokens-per-minute",
                "100000",
                "--max-concurrent",
                "20",
                "--max-prompt-tokens",
                "4096",
                "--models",
                "a,b");
        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(run("allowance", "list", "--json")).isEqualTo(ExitCode.OK);
        assertThat(runner.out()).contains("\"tokensPerMinute\":100000");
        assertThat(runner.out()).contains("\"models\":[\"a\",\"b\"]");
    }

    @Example
    void aTargetIsStopped() {
        assertThat(run("target", "stop", "engine-a1")).isEqualTo(ExitCode.OK);
        run("target", "list");
        assertThat(runner.out()).contains("engine-a1 version 1: {\"started\":false}");
    }

    @Example
    void aZoneIsEmptiedListedAndTakenBack() {
        assertThat(run("zone", "empty", "zone-1")).isEqualTo(ExitCode.OK);
        run("zone", "list");
        assertThat(runner.out()).contains("zone-1 version 1: {\"emptied\":true}");
        assertThat(run("zone", "take-back", "zone-1")).isEqualTo(ExitCode.OK);
        assertThat(run("zone", "list", "--json")).isEqualTo(ExitCode.OK);
        assertThat(runner.out()).contains("\"id\":\"zone-1\",\"version\":2,\"value\":null");
    }

    @Example
    void aPartIsQuarantinedListedAndLifted() {
        assertThat(run("quarantine", "put", "--operator", "ana", "--reason", "crashes engines", "model", "7f94"))
                .isEqualTo(ExitCode.OK);
        run("quarantine", "list");
        assertThat(runner.out()).contains("model/7f94 quarantined since 2023-11-14T22:13:20Z by ana: ");
        assertThat(runner.out()).contains("crashes engines");
        run("quarantine", "lift", "--operator", "ben", "model", "7f94");
        run("quarantine", "list");

        assertThat(runner.out()).contains("model/7f94 lifted since 2023-11-14T22:13:20Z by ben: ");
    }

    @Example
    void aListOfEndpointsWithoutAnyIsAUsageError() {
        assertThat(runner.run("status", "--admin", ",", "--token", "env:HOME")).isEqualTo(ExitCode.USAGE);
        assertThat(runner.err()).contains("no endpoint");
    }

    @Example
    void aQuarantineNeedsAServiceAndAPart() {
        assertThat(run("quarantine", "put", "7f94")).isEqualTo(ExitCode.USAGE);
    }

    @Example
    void aStaleEditIsAConflictThatShowsThePresentValue() {
        setPlan();
        assertThat(setPlan("--if-match", "7")).isEqualTo(ExitCode.CONFLICT);
        assertThat(runner.err()).contains("version 1 is {\"plan\":\"gold\"");
    }

    @Example
    void anEditThatRequiresVersionZeroConflictsWithAnEntryThatExists() {
        assertThat(setPlan("--if-match", "0")).isEqualTo(ExitCode.OK);
        assertThat(setPlan("--if-match", "0")).isEqualTo(ExitCode.CONFLICT);
    }

    @Example
    void anEditWhoseResponseIsLostIsRetriedAndAppliedOnce() {
        admin.dropResponses(2);
        assertThat(setPlan()).isEqualTo(ExitCode.OK);
        assertThat(admin.lastChange()).isEqualTo(1);
    }

    @Example
    void editsWithTheSameChangeIdAreAppliedOnce() {
        assertThat(setPlan("--change-id", "c1")).isEqualTo(ExitCode.OK);
        assertThat(setPlan("--change-id", "c1")).isEqualTo(ExitCode.OK);
        assertThat(admin.lastChange()).isEqualTo(1);
    }

    @Example
    void waitingEndsOnceAllReachableHostsHaveTheChange() {
        admin.setPendingResponses(3);
        assertThat(setPlan("--wait", "60")).isEqualTo(ExitCode.OK);
        assertThat(runner.out()).contains("in effect on: host-a1");
        assertThat(runner.out()).contains("unreachable: host-b1");
    }

    @Example
    void aWaitThatTimesOutNamesTheHostsWithoutTheChange() {
        admin.setPendingResponses(Integer.MAX_VALUE);
        assertThat(run("change", "show", "1", "--wait", "1")).isEqualTo(ExitCode.WAIT_TIMED_OUT);
        assertThat(runner.err()).contains("host-a2");
    }

    @Example
    void anUnknownEntryIsAFailure() {
        assertThat(run("plan", "get", "nobody")).isEqualTo(ExitCode.FAILED);
        assertThat(runner.err()).contains("NOT_FOUND");
    }

    @Example
    void aHostThatDoesNotRespondIsUnreachable() {
        ExitCode code = runner.run("status", "--admin", "127.0.0.1:1", "--token", "file:" + token);
        assertThat(code).isEqualTo(ExitCode.UNREACHABLE);
    }

    @Example
    void theNextHostIsTriedWhenOneDoesNotRespond() {
        String endpoints = "127.0.0.1:1," + admin.address();
        assertThat(runner.run("status", "--admin", endpoints, "--token", "file:" + token))
                .isEqualTo(ExitCode.OK);
    }

    @Example
    void aMissingOptionIsAUsageError() {
        assertThat(runner.run("plan", "set", "org1")).isEqualTo(ExitCode.USAGE);
    }

    @Example
    void aMalformedHashIsAUsageError() {
        assertThat(run("plan", "set", "org1", "--plan", "gold", "--key-hash", "xyz"))
                .isEqualTo(ExitCode.USAGE);
        assertThat(runner.err()).contains("keyHashes");
    }

    @Example
    void helpOfACommandNeedsNoOtherOption() {
        assertThat(runner.run("plan", "set", "--help")).isEqualTo(ExitCode.OK);
        assertThat(runner.out()).contains("--key-hash");
    }
}
