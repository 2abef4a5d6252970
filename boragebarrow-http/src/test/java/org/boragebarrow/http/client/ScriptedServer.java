package org.boragebarrow.http.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.boragebarrow.model.Endpoint;

/** A test server that responds to each request with fixed bytes and counts its connections. */
public final class ScriptedServer implements AutoCloseable {
    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)\r\ncontent-length: ([0-9]+)");

    private final ServerSocket server;
    private final byte[] answer;
    private final byte[] answerToGet;
    private final boolean getAnsweredTwice;
    private final int answers;
    private final End end;
    private final AtomicInteger connections = new AtomicInteger();
    private volatile String lastHead = "";

    /** What the server does with a connection after its last response. */
    private enum End {
        CLOSED,
        CLOSED_ON_NEXT_REQUEST,
        UNRESPONSIVE
    }

    private ScriptedServer(String answer, String answerToGet, boolean getAnsweredTwice, int answers, End end)
            throws IOException {
        this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        this.answer = answer.getBytes(StandardCharsets.UTF_8);
        this.answerToGet = answerToGet.getBytes(StandardCharsets.UTF_8);
        this.getAnsweredTwice = getAnsweredTwice;
        this.answers = answers;
        this.end = end;
    }

    /** Starts a server that closes each connection after one response, or keeps it open if {@code keepAlive}. */
    public static ScriptedServer start(String answer, boolean keepAlive) throws IOException {
        return start(answer, keepAlive ? Integer.MAX_VALUE : 1, End.CLOSED);
    }

    /** Starts a server that responds to the first request on each connection and closes it on the second. */
    public static ScriptedServer startClosingOnSecondRequest(String answer) throws IOException {
        return start(answer, 1, End.CLOSED_ON_NEXT_REQUEST);
    }

    /** Starts a server that responds only to the first request on each connection and keeps the connection open. */
    public static ScriptedServer startUnresponsiveAfterFirstRequest(String answer) throws IOException {
        return start(answer, 1, End.UNRESPONSIVE);
    }

    /** Starts a server that sends the response to a GET once more when the next request on its connection has arrived. */
    public static ScriptedServer startAnsweringGetTwice(String answerToGet, String answer) throws IOException {
        return start(new ScriptedServer(answer, answerToGet, true, Integer.MAX_VALUE, End.CLOSED));
    }

    private static ScriptedServer start(String answer, int answers, End end) throws IOException {
        return start(new ScriptedServer(answer, answer, false, answers, end));
    }

    private static ScriptedServer start(ScriptedServer scripted) {
        Thread.ofVirtual().start(scripted::accept);
        return scripted;
    }

    /** Returns the endpoint at which the server listens. */
    public Endpoint endpoint() {
        return Endpoint.of(server.getInetAddress().getHostAddress(), server.getLocalPort());
    }

    /** Returns the number of connections that the server has accepted. */
    public int connections() {
        return connections.get();
    }

    /** Returns the head of the last request. */
    public String lastHead() {
        return lastHead;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connections.incrementAndGet();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            boolean secondDue = false;
            for (int i = 0; i < answers && readRequest(in); i++) {
                if (secondDue) {
                    socket.getOutputStream().write(answerToGet);
                }
                boolean get = lastHead.startsWith("GET ");
                socket.getOutputStream().write(get ? answerToGet : answer);
                secondDue = get && getAnsweredTwice;
            }
            if (end == End.CLOSED_ON_NEXT_REQUEST) {
                readRequest(in);
            }
            while (end == End.UNRESPONSIVE && readRequest(in)) {
                // Sends no response.
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private boolean readRequest(InputStream in) throws IOException {
        String head = readHead(in);
        if (head.isEmpty()) {
            return false;
        }
        in.skipNBytes(bodyLength(head));
        lastHead = head;
        return true;
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.US_ASCII);
    }

    private static long bodyLength(String head) {
        Matcher length = CONTENT_LENGTH.matcher(head);
        return length.find() ? Long.parseLong(length.group(1)) : 0;
    }
}
