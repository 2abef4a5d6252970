package org.boragebarrow.node.log;

import java.util.Arrays;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.slf4j.LoggerFactory;

import static com.google.common.truth.Truth.assertThat;

class EventLogTest {
    private final Logger logger = (Logger) LoggerFactory.getLogger(EventLogTest.class);
    private final ListAppender<ILoggingEvent> written = new ListAppender<>();
    private final EventLog log = EventLog.of(EventLogTest.class);

    @BeforeProperty
    void listen() {
        logger.setLevel(Level.INFO);
        logger.setAdditive(false);
        written.start();
        logger.addAppender(written);
    }

    @AfterProperty
    void stopListening() {
        logger.detachAppender(written);
    }

    @Example
    void anEventIsWrittenWithItsNumberLevelAndArguments() {
        log.write(LogEvent.TARGET_FAILED, "engine-1", 1_234_567, "it's {broken}");
        ILoggingEvent event = written.list.get(0);
        assertThat(event.getFormattedMessage())
                .isEqualTo("BB4002 target engine-1 failed attempt 1234567: it's {broken}");
        assertThat(event.getLevel()).isEqualTo(Level.WARN);
    }

    @Example
    void anEventBelowTheLevelIsNotWritten() {
        log.write(LogEvent.STRAY_MESSAGE, "attempt");
        assertThat(written.list).isEmpty();
    }

    @Example
    void aNullArgumentIsWrittenAsNull() {
        log.write(LogEvent.HOST_DRAINING, (Object) null);
        assertThat(written.list.get(0).getFormattedMessage()).contains("null requests");
    }

    @Example
    void everyNumberIsUsedOnce() {
        assertThat(Arrays.stream(LogEvent.values()).map(LogEvent::number).toList())
                .containsNoDuplicates();
    }
}
