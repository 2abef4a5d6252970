package org.boragebarrow.node.settings;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.ServiceName;

/** What the operators say of one plain service; calls that no rule names may not be repeated. */
public record ServiceSettings(ServiceName service, ImmutableList<RepeatableCall> repeatable) {
    /** Returns whether the call may be repeated. */
    public boolean isRepeatable(String method, String path) {
        return repeatable.stream().anyMatch(rule -> rule.matches(method, path));
    }
}
