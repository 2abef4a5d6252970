package org.boragebarrow.node;

import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.port.HostList;
import org.boragebarrow.port.TableService;

/**
 * What lies between a host and the outside; trials put faults there.
 *
 * <p>Each method is called once, while the host starts, and returns what the host uses from then on.
 */
public interface Surroundings {
    /** The surroundings of a host in service: nothing lies between. */
    Surroundings DIRECT = new Surroundings() {};

    /** Returns what the host sends to its peers through. */
    default PeerSender peers(PeerSender links) {
        return links;
    }

    /** Returns what the host reaches the table service through. */
    default TableService table(TableService table) {
        return table;
    }

    /** Returns what the host reads the host list through. */
    default HostList hostList(HostList hostList) {
        return hostList;
    }
}
