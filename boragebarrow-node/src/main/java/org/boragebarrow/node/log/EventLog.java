package org.boragebarrow.node.log;

import java.text.MessageFormat;
import java.util.Arrays;

import static com.google.common.base.Preconditions.checkNotNull;

/** Writes numbered events to the system logger. Thread-safe. */
public final class EventLog {
    private final System.Logger logger;

    private EventLog(System.Logger logger) {
        this.logger = logger;
    }

    /** Returns the event log whose logger is named after the given class. */
    public static EventLog of(Class<?> owner) {
        return new EventLog(System.getLogger(owner.getName()));
    }

    /** Writes an event, with the arguments in the placeholders of its message. */
    public void write(LogEvent event, Object... arguments) {
        checkNotNull(event);
        if (!logger.isLoggable(event.level())) {
            return;
        }
        Object[] texts = Arrays.stream(arguments).map(String::valueOf).toArray();
        logger.log(event.level(), "BB" + event.number() + " " + new MessageFormat(event.message()).format(texts));
    }
}
