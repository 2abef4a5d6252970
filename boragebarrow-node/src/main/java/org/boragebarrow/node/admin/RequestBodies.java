package org.boragebarrow.node.admin;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.boragebarrow.http.server.ServerRequest;

/** Reads the bodies of operators' requests. */
final class RequestBodies {
    private RequestBodies() {}

    /** Returns the body as UTF-8 text. */
    static String textOf(ServerRequest request) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(request.bodyBytes());
        for (ByteBuffer part : request.body()) {
            ByteBuffer view = part.duplicate();
            byte[] copy = new byte[view.remaining()];
            view.get(copy);
            bytes.writeBytes(copy);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
