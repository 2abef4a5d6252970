package org.boragebarrow.node.docs;

import java.util.Arrays;
import java.util.Locale;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.node.relay.RelayEvent;
import org.boragebarrow.node.settings.Setting;
import org.boragebarrow.node.settings.SettingKeys;

import static com.google.common.collect.ImmutableList.toImmutableList;
import static com.google.common.truth.Truth.assertThat;

class DocumentsTest {
    private static final int EXPLANATION_COLUMNS = 2;

    private static ImmutableList<ImmutableList<String>> withoutExplanations(ImmutableList<ImmutableList<String>> rows) {
        return rows.stream()
                .map(row -> row.subList(0, row.size() - EXPLANATION_COLUMNS))
                .collect(toImmutableList());
    }

    private static String code(String text) {
        return "`" + text + "`";
    }

    private static void assertExplained(ImmutableList<ImmutableList<String>> rows) {
        for (ImmutableList<String> row : rows) {
            assertThat(row.subList(row.size() - EXPLANATION_COLUMNS, row.size()))
                    .containsNoneIn(ImmutableList.of("", "?"));
        }
    }

    @Example
    void documentedLogEventsMatchTheCode() {
        ImmutableList<ImmutableList<String>> rows = DocumentTables.rows("EVENTS.md", "number");
        assertThat(withoutExplanations(rows))
                .containsExactlyElementsIn(Arrays.stream(LogEvent.values())
                        .map(event -> ImmutableList.of(
                                Integer.toString(event.number()),
                                event.level().name(),
                                code(event.name()),
                                code(event.message())))
                        .toList())
                .inOrder();
        assertExplained(rows);
    }

    @Example
    void documentedRelayEventsMatchTheCode() {
        ImmutableList<ImmutableList<String>> rows = DocumentTables.rows("EVENTS.md", "decision");
        assertThat(rows.stream().map(row -> row.subList(0, 2)).toList())
                .containsExactlyElementsIn(Arrays.stream(RelayEvent.values())
                        .map(event -> ImmutableList.of(Integer.toString(event.number()), code(event.name())))
                        .toList())
                .inOrder();
        assertExplained(rows);
    }

    @Example
    void documentedErrorsMatchTheCode() {
        ImmutableList<ImmutableList<String>> rows = DocumentTables.rows("ERRORS.md", "kind");
        assertThat(withoutExplanations(rows))
                .containsExactlyElementsIn(Arrays.stream(ErrorKind.values())
                        .map(kind -> ImmutableList.of(
                                code(kind.name()),
                                Integer.toString(kind.status()),
                                kind.executionStatus().name().toLowerCase(Locale.ROOT),
                                kind.retryable() ? "yes" : "no"))
                        .toList())
                .inOrder();
        assertExplained(rows);
    }

    @Example
    void documentedSettingsMatchTheCode() {
        assertThat(DocumentTables.rows("OPERATIONS.md", "section"))
                .containsExactlyElementsIn(
                        SettingKeys.all().stream().map(DocumentsTest::rowOf).toList())
                .inOrder();
    }

    private static ImmutableList<String> rowOf(Setting<?> setting) {
        String defaultCell = setting.defaultText()
                .map(text -> text.isEmpty() ? "empty" : code(text))
                .orElse("required");
        return ImmutableList.of(
                code(setting.section()), code(setting.key()), setting.type(), defaultCell, setting.summary());
    }
}
