package org.boragebarrow.trials;

import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.boragebarrow.model.Endpoint;

/** Static methods that set faults of stand-ins and read their state over HTTP. */
public final class Standins {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Standins() {}

    /** Posts faults, a JSON object, to a stand-in. */
    public static void setFaults(Endpoint standin, String path, String faults) {
        Caller.sendForSuccess("POST", standin, path, faults.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the name of the first field of a JSON object. */
    public static String firstField(String object) {
        try {
            return JSON.readTree(object).fieldNames().next();
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a JSON object: " + object, e);
        }
    }

    /** Returns the JSON document at a path of a stand-in. */
    public static JsonNode readJson(Endpoint standin, String path) {
        URI uri = URI.create("http://" + standin + path);
        String body = Caller.send(HttpRequest.newBuilder(uri).build()).body();
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("response is not JSON: " + body, e);
        }
    }
}
