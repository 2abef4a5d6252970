package org.boragebarrow.testing;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.truth.Truth.assertThat;

class MemoryTableTest {
    private final MemoryTable table = new MemoryTable(10);

    @Example
    void aConditionOnAnOldVersionConflicts() {
        put("a", "1");
        long old = table.get("a").orElseThrow().version();
        put("a", "2");
        assertThat(table.commit(ImmutableList.of(new Condition("a", old)), writes("a", "3")))
                .isFalse();
        assertThat(table.get("a").orElseThrow().value()).isEqualTo("2");
    }

    @Example
    void oneFailedConditionRejectsAllWrites() {
        put("a", "1");
        ImmutableList<Condition> conditions = ImmutableList.of(Condition.absent("b"), Condition.absent("a"));
        assertThat(table.commit(conditions, ImmutableList.of(Write.put("b", "1"), Write.put("c", "1"))))
                .isFalse();
        assertThat(table.scan("", 10)).hasSize(1);
    }

    @Example
    void versionsAreNotReusedAfterADeletion() {
        put("a", "1");
        long old = table.get("a").orElseThrow().version();
        table.commit(ImmutableList.of(), ImmutableList.of(Write.delete("a")));
        assertThat(table.get("a")).isEmpty();
        put("a", "1");
        assertThat(table.get("a").orElseThrow().version()).isGreaterThan(old);
    }

    @Example
    void aScanReturnsOnlyThePrefixInKeyOrderUpToTheLimit() {
        put("p/2", "");
        put("q", "");
        put("p/1", "");
        put("p/3", "");
        assertThat(table.scan("p/", 2).stream().map(Row::key))
                .containsExactly("p/1", "p/2")
                .inOrder();
    }

    @Example
    void staleReadsReturnTheRowsBeforeTheLatestCommits() {
        put("a", "1");
        put("a", "2");
        table.commit(ImmutableList.of(), ImmutableList.of(Write.delete("a")));
        assertThat(table.get("a", 1).map(Row::value)).hasValue("2");
        assertThat(table.scan("a", 1, 2)).containsExactly(new Row("a", "1", 1));
    }

    private void put(String key, String value) {
        table.commit(ImmutableList.of(), writes(key, value));
    }

    private static ImmutableList<Write> writes(String key, String value) {
        return ImmutableList.of(Write.put(key, value));
    }
}
