package org.boragebarrow.decision.quarantine;

import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkNotNull;

/** A part of prompts that are sent to one service. Callers choose the ids of parts, so each service has its own. */
public record PartKey(ServiceName service, PromptPartId part) {
    public PartKey {
        checkNotNull(service);
        checkNotNull(part);
    }

    @Override
    public String toString() {
        return service + "/" + part;
    }
}
