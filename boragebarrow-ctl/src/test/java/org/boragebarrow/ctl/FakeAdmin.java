package org.boragebarrow.ctl;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.standins.web.WebHandler;
import org.boragebarrow.standins.web.WebRequest;
import org.boragebarrow.standins.web.WebResponse;
import org.boragebarrow.standins.web.WebServer;

/** A host's admin API over a map; all of it runs on one event loop. */
final class FakeAdmin implements WebHandler, AutoCloseable {
    static final String TOKEN = "operator-token";

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final WebServer server = WebServer.start(group, Endpoint.of("127.0.0.1", 0), this);
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Set<String> changeIds = new HashSet<>();
    private long head;
    private int lostAnswers;
    private int pendingAnswers;

    private record Entry(String value, long version) {}

    String address() {
        return server.endpoint().toString();
    }

    /** Loses so many answers to edits after they took effect. */
    void loseAnswers(int count) {
        lostAnswers = count;
    }

    /** Tells so many times that a host lacks the change. */
    void setPendingAnswers(int count) {
        pendingAnswers = count;
    }

    long head() {
        return head;
    }

    @Override
    public void handle(WebRequest request, WebResponse response) {
        if (!request.header("authorization").equals(Optional.of("Bearer " + TOKEN))) {
            error(response, 401, "UNAUTHENTICATED");
            return;
        }
        String area = request.segments().get(2);
        switch (area) {
            case "status" -> send(response, 200, 0, NODES.objectNode().put("host", "host-a1"));
            case "changes" -> send(response, 200, 0, rollout());
            default -> entry(request, area, response);
        }
    }

    private ObjectNode rollout() {
        boolean pending = pendingAnswers > 0;
        pendingAnswers -= pending ? 1 : 0;
        ObjectNode page = NODES.objectNode();
        page.putArray("in_force").add("host-a1");
        ArrayNode lacking = page.putArray("pending");
        if (pending) {
            lacking.add("host-a2");
        }
        page.putArray("unreachable").add("host-b1");
        return page;
    }

    private void entry(WebRequest request, String area, WebResponse response) {
        if (request.segments().size() == 3) {
            send(response, 200, 0, list(area));
            return;
        }
        String key = area + "/" + request.segments().get(3);
        Entry present = entries.getOrDefault(key, new Entry("null", 0));
        switch (request.method()) {
            case "GET" -> show(present, response);
            case "PUT" -> edit(request, key, new String(request.body(), StandardCharsets.UTF_8), response);
            case "DELETE" -> edit(request, key, "null", response);
            default -> {
                boolean started = request.segments().get(4).equals("start");
                edit(request, key, "{\"started\":" + started + "}", response);
            }
        }
    }

    private ObjectNode list(String area) {
        ObjectNode page = NODES.objectNode().put("change", head);
        ArrayNode all = page.putArray("entries");
        entries.forEach((key, entry) -> {
            if (key.startsWith(area + "/")) {
                String id = key.substring(area.length() + 1);
                all.addObject().put("id", id).put("version", entry.version).putRawValue("value", raw(entry.value));
            }
        });
        return page;
    }

    private static RawValue raw(String json) {
        return new RawValue(json);
    }

    private static void show(Entry present, WebResponse response) {
        if (present.version == 0) {
            error(response, 404, "NOT_FOUND");
            return;
        }
        send(response, 200, present.version, present.value);
    }

    private void edit(WebRequest request, String key, String value, WebResponse response) {
        String changeId = request.header("change-id").orElseThrow();
        Entry present = entries.getOrDefault(key, new Entry("null", 0));
        if (changeIds.contains(changeId)) {
            send(response, 200, present.version, present.value);
            return;
        }
        if (isStale(request, present)) {
            ObjectNode page = errorPage("VERSION_CONFLICT");
            page.putObject("present").put("version", present.version).putRawValue("value", raw(present.value));
            send(response, 412, present.version, page);
            return;
        }
        changeIds.add(changeId);
        head++;
        entries.put(key, new Entry(value, head));
        if (lostAnswers > 0) {
            lostAnswers--;
            response.abort();
            return;
        }
        send(response, 200, head, value);
    }

    private static boolean isStale(WebRequest request, Entry present) {
        boolean mustBeNew = request.header("if-none-match").isPresent();
        Optional<String> match = request.header("if-match");
        return mustBeNew && present.version > 0
                || match.isPresent() && !match.get().equals("\"" + present.version + "\"");
    }

    private static ObjectNode errorPage(String kind) {
        ObjectNode page = NODES.objectNode();
        page.putObject("error").put("kind", kind).put("message", "refused");
        return page;
    }

    private static void error(WebResponse response, int status, String kind) {
        send(response, status, 0, errorPage(kind));
    }

    private static void send(WebResponse response, int status, long version, Object body) {
        ImmutableListMultimap<String, String> headers =
                ImmutableListMultimap.of("content-type", "application/json", "etag", "\"" + version + "\"");
        response.send(status, headers, (body + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
