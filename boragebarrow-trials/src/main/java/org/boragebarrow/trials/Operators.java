package org.boragebarrow.trials;

import java.net.http.HttpResponse;

import org.boragebarrow.node.Host;
import org.boragebarrow.node.front.Authenticator;

import static com.google.common.base.Preconditions.checkState;

/** Edits plans and allowances of a deployment. */
public final class Operators {
    private static final long IN_FORCE_SECONDS = 30;
    private static final String ALLOWANCE = """
            {"tokensPerMinute":%d,"maxConcurrent":%d,"maxPromptTokens":1048576,"weight":1,\
            "defaultTimeoutMs":30000,"maxTimeoutMs":120000,"models":[],"services":[]}
            """;

    private Operators() {}

    /** Sets an allowance and returns the change number. */
    public static long setAllowance(Host host, String plan, long tokensPerMinute, int maxConcurrent) {
        return put(host, "/admin/v1/allowances/" + plan, ALLOWANCE.formatted(tokensPerMinute, maxConcurrent));
    }

    /** Puts an organisation on a plan with one key and returns the change number. */
    public static long setPlan(Host host, String organisation, String plan, String key) {
        String body = "{\"plan\":\"%s\",\"keyHashes\":[\"%s\"]}".formatted(plan, Authenticator.hashOf(key));
        return put(host, "/admin/v1/plans/" + organisation, body);
    }

    private static long put(Host host, String path, String body) {
        HttpResponse<String> answer = Caller.operate(host, "PUT", path, body);
        checkState(answer.statusCode() == 200, "%s: %s %s", path, answer.statusCode(), answer.body());
        return answer.headers().firstValueAsLong("change-number").orElseThrow();
    }

    /** Waits until a change is in force on every host that runs. */
    public static void awaitInForce(Deployment deployment, long change) {
        Waiting.until(
                IN_FORCE_SECONDS,
                "change " + change + " in force",
                () -> deployment.hosts().stream().allMatch(host -> host.changeInForce() >= change));
    }
}
