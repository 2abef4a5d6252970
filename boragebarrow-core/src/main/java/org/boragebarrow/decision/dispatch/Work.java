package org.boragebarrow.decision.dispatch;

import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** The work that a request submits to a target. */
public sealed interface Work {
    /**
     * A prompt for a model.
     *
     * @param prefix the chained hashes of the prompt's leading blocks, in block order
     */
    record Prompt(ModelId model, int promptTokens, int maxTokens, ImmutableLongArray prefix) implements Work {
        public Prompt {
            checkNotNull(model);
            checkArgument(promptTokens >= 0, "promptTokens must not be negative: %s", promptTokens);
            checkArgument(maxTokens > 0, "maxTokens must be positive: %s", maxTokens);
            checkNotNull(prefix);
        }

        /** Returns the prompt's length class. */
        public LengthClass lengthClass() {
            return LengthClass.of(promptTokens);
        }
    }

    /** A call to a plain service. */
    record ServiceCall(ServiceName service) implements Work {
        public ServiceCall {
            checkNotNull(service);
        }
    }
}
