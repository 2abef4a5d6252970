package org.boragebarrow.model;

import com.google.common.primitives.ImmutableLongArray;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;

class PrefixBlocksTest {
    private static final int BLOCK_CHARACTERS = PrefixBlocks.BLOCK_CHARACTERS;

    private static ImmutableLongArray hashes(String... parts) {
        PrefixBlocks blocks = new PrefixBlocks();
        for (String part : parts) {
            blocks.add(part);
        }
        return blocks.hashes();
    }

    @Property(seed = "3", tries = 50)
    void hashesDoNotDependOnHowTheTextIsSplit(@ForAll @IntRange(max = 5 * 2_048) int split) {
        String text = "order 17 ".repeat(5 * BLOCK_CHARACTERS / 9 + 1).substring(0, 5 * BLOCK_CHARACTERS);
        assertThat(hashes(text.substring(0, split), text.substring(split))).isEqualTo(hashes(text));
        assertThat(hashes(text).length()).isEqualTo(5);
    }

    @Example
    void promptsShareTheHashesOfTheirCommonPrefix() {
        String common = "a".repeat(2 * BLOCK_CHARACTERS);
        ImmutableLongArray first = hashes(common + "b".repeat(BLOCK_CHARACTERS));
        ImmutableLongArray second = hashes(common + "c".repeat(BLOCK_CHARACTERS));
        assertThat(first.subArray(0, 2)).isEqualTo(second.subArray(0, 2));
        assertThat(first.get(2)).isNotEqualTo(second.get(2));
    }

    @Example
    void equalBlocksAfterDifferentBlocksHaveDifferentHashes() {
        ImmutableLongArray first = hashes("a".repeat(BLOCK_CHARACTERS) + "c".repeat(BLOCK_CHARACTERS));
        ImmutableLongArray second = hashes("b".repeat(BLOCK_CHARACTERS) + "c".repeat(BLOCK_CHARACTERS));
        assertThat(first.get(1)).isNotEqualTo(second.get(1));
    }

    @Example
    void onlyCompleteBlocksUpToTheMaximumAreHashed() {
        assertThat(hashes("a".repeat(BLOCK_CHARACTERS - 1)).length()).isEqualTo(0);
        assertThat(hashes("a".repeat((PrefixBlocks.MAX_BLOCKS + 3) * BLOCK_CHARACTERS))
                        .length())
                .isEqualTo(PrefixBlocks.MAX_BLOCKS);
    }
}
