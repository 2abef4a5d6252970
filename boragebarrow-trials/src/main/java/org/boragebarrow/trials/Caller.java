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

/** Sends requests of callers and operators with the JDK's HTTP client. Thread-safe. */
public final class Caller {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final String bearerToken;

    private Caller(String bearerToken) {
        this.bearerToken = bearerToken;
    }

    /** Returns a caller that authenticates with the bearer token, such as an API key. */
    public static Caller of(String bearerToken) {
        return new Caller(bearerToken);
    }

    /** Returns the builder of an authenticated request to a host's port for callers. */
    public HttpRequest.Builder request(Host host, String path) {
        return request(host.callerEndpoint(), path);
    }

    private HttpRequest.Builder request(Endpoint endpoint, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + endpoint + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + bearerToken);
    }

    /** Sends a completion request and returns the complete response. */
    public HttpResponse<String> complete(Host host, String prompt, int maxTokens, boolean stream) {
        return send(request(host, "/v1/completions")
                .POST(BodyPublishers.ofString(completionBody(prompt, maxTokens, stream)))
                .build());
    }

    /** Returns the body of a completion request, from which the stand-in engines derive their text. */
    public static String completionBody(String prompt, int maxTokens, boolean stream) {
        return "{\"model\":\"model\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%b}"
                .formatted(prompt, maxTokens, stream);
    }

    /** Sends an authenticated request to a host's admin port. */
    public static HttpResponse<String> sendAdminRequest(Host host, String method, String path, String body) {
        return send(Caller.of(Deployment.ADMIN_TOKEN)
                .request(host.adminEndpoint(), path)
                .method(method, BodyPublishers.ofString(body))
                .build());
    }

    static void sendForSuccess(String method, Endpoint endpoint, String path, byte[] body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + endpoint + path))
                .timeout(TIMEOUT)
                .method(method, BodyPublishers.ofByteArray(body))
                .build();
        HttpResponse<String> response = send(request);
        if (response.statusCode() >= 300) {
            throw new IllegalStateException(method + " " + path + ": " + response.statusCode() + " " + response.body());
        }
    }

    /**
     * Sends a request and returns the complete response.
     *
     * @throws CallFailedException if an I/O error occurs
     */
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

    /** Thrown if no complete response is received. */
    public static final class CallFailedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CallFailedException(IOException cause) {
            super(cause);
        }
    }
}
