package org.boragebarrow.node.assign;

import com.google.protobuf.InvalidProtocolBufferException;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.peer.proto.HostRow;

/**
 * A host's row in the store's table of hosts.
 *
 * @param centicores the host's processor in hundredths of a core, 0 in rows of hosts that do not report it
 */
record HostRecord(HostIncarnation incarnation, AvailabilityZoneId zone, Endpoint endpoint, int centicores) {
    /**
     * Returns whether other hosts find and rank this host in the same way as the other one. A new incarnation at the same
     * endpoint is announced by its links.
     */
    boolean isEquivalentTo(HostRecord other) {
        return incarnation.host().equals(other.incarnation.host())
                && zone.equals(other.zone)
                && endpoint.equals(other.endpoint)
                && centicores == other.centicores;
    }

    /** Returns the encoded row. */
    byte[] toBytes() {
        return HostRow.newBuilder()
                .setHost(incarnation.host().value())
                .setIncarnation(incarnation.number().value())
                .setZone(zone.value())
                .setAddress(endpoint.address())
                .setPort(endpoint.port())
                .setCenticores(centicores)
                .build()
                .toByteArray();
    }

    /**
     * Decodes a row.
     *
     * @throws IllegalArgumentException if the bytes are malformed or a value is invalid
     */
    static HostRecord of(byte[] bytes) {
        HostRow row;
        try {
            row = HostRow.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("malformed host row: " + e.getMessage(), e);
        }
        return new HostRecord(
                HostIncarnation.of(HostId.of(row.getHost()), IncarnationNumber.of(row.getIncarnation())),
                AvailabilityZoneId.of(row.getZone()),
                Endpoint.of(row.getAddress(), row.getPort()),
                row.getCenticores());
    }
}
