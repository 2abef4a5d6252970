package org.boragebarrow.model;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** The IP number and TCP port that a process listens on. */
public record Endpoint(String address, int port) {
    private static final int MAX_PORT = 65_535;

    public Endpoint {
        checkNotNull(address);
        checkArgument(InetAddresses.isInetAddress(address), "not an IP number: \"%s\"", address);
        checkArgument(port >= 0 && port <= MAX_PORT, "port out of range: %s", port);
    }

    /** Returns the endpoint at the given IP number and port. */
    public static Endpoint of(String address, int port) {
        return new Endpoint(address, port);
    }

    /**
     * Parses {@code address:port}; an IPv6 number stands in brackets.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static Endpoint parse(String text) {
        checkNotNull(text);
        HostAndPort parsed = HostAndPort.fromString(text);
        checkArgument(parsed.hasPort(), "no port: \"%s\"", text);
        return of(parsed.getHost(), parsed.getPort());
    }

    @Override
    public String toString() {
        return HostAndPort.fromParts(address, port).toString();
    }
}
