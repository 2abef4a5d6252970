package org.boragebarrow.ctl;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.boragebarrow.ctl.caller.CallerClient;
import org.boragebarrow.ctl.caller.CompletionBodies;
import org.boragebarrow.ctl.caller.PromptCall;
import org.boragebarrow.ctl.caller.ServiceCall;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.HttpCallException;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.ServiceName;

/** Sends one request in the same way as a caller. */
@Command(
        name = "send",
        description = "Sends one prompt or one service call as a smoke test; its times include the start of this tool")
public final class SendCommand implements CtlCommand {
    @Required
    @Option(name = "--entry", title = "HOST:PORT", description = "The callers' endpoint of a host")
    private String entry;

    @Required
    @Option(name = "--key", title = "PLACE", description = "The caller's API key: file:PATH or env:NAME")
    private String key;

    @Option(name = "--timeout-ms", title = "MS", description = "The request's time limit (60000)")
    private int timeoutMillis = 60_000;

    @Option(name = "--model", title = "ID", description = "The model (model)")
    private String model = "model";

    @Option(name = "--prompt", title = "TEXT", description = "The prompt (Hello)")
    private String prompt = "Hello";

    @Option(name = "--max-tokens", title = "N", description = "The longest answer (16)")
    private int maxTokens = 16;

    @Option(name = "--service", title = "NAME", description = "Calls this plain service instead of a model")
    private String service;

    @Option(name = "--method", title = "METHOD", description = "The method of the service call (GET)")
    private String method = "GET";

    @Option(name = "--path", title = "PATH", description = "The path at the service (/)")
    private String path = "/";

    @Option(name = "--body", title = "TEXT", description = "The body of the service call")
    private String body = "";

    @Option(name = "--idempotency-key", title = "KEY", description = "Identifies the service call in all its attempts")
    private String idempotencyKey;

    @Option(name = "--json", description = "Prints JSON")
    private boolean json;

    @Override
    public void run(Console console) {
        Endpoint endpoint = Usage.checked("--entry", () -> Endpoint.parse(entry));
        String secret = Usage.checked("--key", () -> Secrets.read(key));
        RequestId requestId = RequestId.of(UUID.randomUUID().toString());
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            CallerClient client = CallerClient.create(group);
            if (service == null) {
                sendPrompt(client, endpoint, promptCall(secret, requestId), console);
            } else {
                callService(client, endpoint, serviceCall(secret, requestId), console);
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private PromptCall promptCall(String secret, RequestId requestId) {
        String text = CompletionBodies.of(Usage.checked("--model", () -> ModelId.of(model)), prompt, maxTokens);
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        Duration timeout = Duration.ofMillis(timeoutMillis);
        return new PromptCall(secret, requestId, ImmutableList.of(bytes), timeout, OptionalInt.empty());
    }

    private ServiceCall serviceCall(String secret, RequestId requestId) {
        return new ServiceCall(
                secret,
                requestId,
                Usage.checked("--service", () -> ServiceName.of(service)),
                method.toUpperCase(Locale.ROOT),
                path.startsWith("/") ? path : "/" + path,
                body,
                Duration.ofMillis(timeoutMillis),
                Optional.ofNullable(idempotencyKey));
    }

    private void sendPrompt(CallerClient client, Endpoint endpoint, PromptCall call, Console console) {
        AnswerPrinter printer = new AnswerPrinter(Ticker.systemTicker(), json ? console.err() : console.out());
        client.complete(endpoint, call, printer);
        printer.awaitAndPrintEnd(json, console, call.timeout().plus(CallerClient.GRACE_PERIOD));
    }

    private void callService(CallerClient client, Endpoint endpoint, ServiceCall call, Console console) {
        try {
            HttpAnswer answer = client.call(endpoint, call).join();
            console.err().println("status " + answer.status());
            console.out().println(answer.text());
            if (!answer.isSuccess()) {
                throw new CommandException(ExitCode.FAILED, "the call failed with status " + answer.status());
            }
        } catch (CompletionException e) {
            boolean sent = !(e.getCause() instanceof HttpCallException failure) || failure.sent();
            throw new CommandException(
                    sent ? ExitCode.FAILED : ExitCode.UNREACHABLE, e.getCause().getMessage());
        }
    }
}
