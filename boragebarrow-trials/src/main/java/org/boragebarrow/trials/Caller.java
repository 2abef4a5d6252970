package org.boragebarrow.trials;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

import org.boragebarrow.model.Endpoint;
import org.boragebarrow.node.Host;

/** Sends requests as callers and operators do, by the JDK's HTTP client. Thread-safe. */
public final class Caller {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final String key;

    private Caller(String key) {
        this.key = key;
    }

    /** Returns a caller that authenticates with the key. */
    public static Caller of(String key) {
        return new Caller(key);
    }

    /** Returns a request to a host's callers' port, to be completed. */
    public HttpRequest.Builder request(Host host, String path) {
        return request(host.callerEndpoint(), path);
    }

    private HttpRequest.Builder request(Endpoint endpoint, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + endpoint + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key);
    }

    /** Sends a completion and returns the whole answer. */
    public HttpResponse<String> complete(Host host, String prompt, int maxTokens, boolean stream) {
        String body = "{\"model\":\"model\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%b}"
                .formatted(prompt, maxTokens, stream);
        return send(request(host, "/v1/completions")
                .POST(BodyPublishers.ofString(body))
                .build());
    }

    /** Sends a request to a host's operators' port. */
    public static HttpResponse<String> operate(Host host, String method, String path, String body) {
        return send(Caller.of(Deployment.ADMIN_TOKEN)
                .request(host.adminEndpoint(), path)
                .method(method, BodyPublishers.ofString(body))
                .build());
    }

    static void control(String method, Endpoint endpoint, String path, byte[] body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + endpoint + path))
                .timeout(TIMEOUT)
                .method(method, BodyPublishers.ofByteArray(body))
                .build();
        HttpResponse<String> answer = send(request);
        if (answer.statusCode() >= 300) {
            throw new IllegalStateException(method + " " + path + ": " + answer.statusCode() + " " + answer.body());
        }
    }

    /** Sends a request; an I/O failure is thrown as {@link CallFailedException}. */
    public static HttpResponse<String> send(HttpRequest request) {
        try {
            return CLIENT.send(request, BodyHandlers.ofString());
        } catch (IOException e) {
            throw new CallFailedException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Reports that no whole answer came. */
    public static final class CallFailedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CallFailedException(IOException cause) {
            super(cause);
        }
    }
}
