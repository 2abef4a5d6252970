package org.boragebarrow.node.relay;

import java.util.Optional;

import org.boragebarrow.decision.routing.Route;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.ServiceName;

/**
 * Where a request goes by the routing in force at its arrival.
 *
 * @param organisation the holder of the caller's key; empty where no key is asked for
 */
record Destination(Route route, ServiceName service, Optional<OrganisationId> organisation) {}
