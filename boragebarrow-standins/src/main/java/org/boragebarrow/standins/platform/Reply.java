package org.boragebarrow.standins.platform;

import io.netty.handler.codec.http.HttpHeaderValues;
import org.boragebarrow.http.platform.PlatformJson;

/** The result of a call as its caller receives it. */
sealed interface Reply {
    /** A complete response. */
    record Answer(int status, String contentType, byte[] body) implements Reply {}

    /** A reset connection. */
    record Reset() implements Reply {}

    static Reply status(int status) {
        return new Answer(status, HttpHeaderValues.TEXT_PLAIN.toString(), new byte[0]);
    }

    static Reply json(Object message) {
        return new Answer(200, HttpHeaderValues.APPLICATION_JSON.toString(), PlatformJson.write(message));
    }

    static Reply bytes(byte[] bytes) {
        return new Answer(200, HttpHeaderValues.APPLICATION_OCTET_STREAM.toString(), bytes);
    }
}
