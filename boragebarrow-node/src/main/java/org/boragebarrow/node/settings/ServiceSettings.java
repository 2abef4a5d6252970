package org.boragebarrow.node.settings;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.ServiceName;

/** The settings of one plain service. Calls that match no rule must not be retried. */
public record ServiceSettings(ServiceName service, ImmutableList<RepeatableCall> repeatableCalls) {
    /** Returns whether the call may be retried. */
    public boolean isRepeatable(String method, String path) {
        return repeatableCalls.stream().anyMatch(rule -> rule.matches(method, path));
    }
}
