package org.boragebarrow.trials;

import java.net.http.HttpResponse;

import org.boragebarrow.node.Host;
import org.boragebarrow.node.front.Authenticator;

import static com.google.common.base.Preconditions.checkState;

/** Static methods that edit the plans and allowances of a deployment over the admin API. */
public final class AdminCalls {
    private static final long APPLY_TIMEOUT_SECONDS = 30;
    private static final String ALLOWANCE = """
            {"tokensPerMinute":%d,"maxConcurrent":%d,"maxPromptTokens":1048576,"weight":1,\
            "defaultTimeoutMs":30000,"maxTimeoutMs":120000,"models":[],"services":[]}
            """;

    private AdminCalls() {}

    /** Sets the allowance of a plan and returns the number of the change. */
    public static long setAllowance(Host host, String plan, long tokensPerMinute, int maxConcurrent) {
        return put(host, "/admin/v1/allowances/" + plan, ALLOWANCE.formatted(tokensPerMinute, maxConcurrent));
    }

    /** Assigns a plan and one API key to an organisation and returns the number of the change. */
    public static long setPlan(Host host, String organisation, String plan, String key) {
        String body = "{\"plan\":\"%s\",\"keyHashes\":[\"%s\"]}".formatted(plan, Authenticator.hashOf(key));
        return put(host, "/admin/v1/plans/" + organisation, body);
    }

    private static long put(Host host, String path, String body) {
        HttpResponse<String> response = Caller.sendAdminRequest(host, "PUT", path, body);
        checkState(response.statusCode() == 200, "PUT %s: %s %s", path, response.statusCode(), response.body());
        return response.headers().firstValueAsLong("change-number").orElseThrow();
    }

    /** Waits until all running hosts have applied a change. */
    public static void awaitApplied(Deployment deployment, long change) {
        Waiting.until(
                APPLY_TIMEOUT_SECONDS,
                "change " + change + " applied on all hosts",
                () -> deployment.hosts().stream().allMatch(host -> host.appliedChangeNumber() >= change));
    }
}
