/** Carries out the decisions of the {@link org.boragebarrow.decision.quarantine.Quarantine} on a host. */
package org.boragebarrow.node.quarantine;
