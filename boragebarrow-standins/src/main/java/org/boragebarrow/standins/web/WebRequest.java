package org.boragebarrow.standins.web;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * One complete request.
 *
 * @param method the method, in upper case
 * @param path the decoded path without the query
 * @param segments the decoded segments of the path, without empty ones
 * @param query the decoded query parameters
 * @param headers the headers, by lower-case name
 * @param body the bytes of the body; a copy that the handler may retain
 */
public record WebRequest(
        String method,
        String path,
        ImmutableList<String> segments,
        ImmutableListMultimap<String, String> query,
        ImmutableListMultimap<String, String> headers,
        byte[] body) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Splitter SEGMENT_SPLITTER = Splitter.on('/').omitEmptyStrings();

    static WebRequest of(FullHttpRequest request) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        return new WebRequest(
                request.method().name(),
                uri.path(),
                segments(uri.rawPath()),
                query(uri),
                headers(request),
                ByteBufUtil.getBytes(request.content()));
    }

    private static ImmutableList<String> segments(String rawPath) {
        ImmutableList.Builder<String> segments = ImmutableList.builder();
        for (String segment : SEGMENT_SPLITTER.split(rawPath)) {
            segments.add(QueryStringDecoder.decodeComponent(segment.replace("+", "%2B")));
        }
        return segments.build();
    }

    private static ImmutableListMultimap<String, String> query(QueryStringDecoder uri) {
        ImmutableListMultimap.Builder<String, String> query = ImmutableListMultimap.builder();
        for (Map.Entry<String, List<String>> parameter : uri.parameters().entrySet()) {
            query.putAll(parameter.getKey(), parameter.getValue());
        }
        return query.build();
    }

    private static ImmutableListMultimap<String, String> headers(FullHttpRequest request) {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        for (Map.Entry<String, String> header : request.headers()) {
            headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue());
        }
        return headers.build();
    }

    /** Returns the first value of the header, if present. */
    public Optional<String> header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT)).stream().findFirst();
    }

    /** Returns the first value of the query parameter, if present. */
    public Optional<String> queryParameter(String name) {
        return query.get(name).stream().findFirst();
    }

    /** Returns whether the request has this method and path. */
    public boolean is(String expectedMethod, String expectedPath) {
        return method.equals(expectedMethod) && path.equals(expectedPath);
    }

    /**
     * Parses the body as JSON; an empty body yields a missing node.
     *
     * @throws IllegalArgumentException if the body is not valid JSON
     */
    public JsonNode json() {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new IllegalArgumentException("request body is not valid JSON: " + e.getMessage(), e);
        }
    }
}
