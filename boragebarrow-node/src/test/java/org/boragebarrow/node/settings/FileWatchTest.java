package org.boragebarrow.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterExample;

import static com.google.common.truth.Truth.assertThat;

class FileWatchTest {
    private final Path folder = Files.createTempDirectory("settings");
    private final Path file = Files.writeString(folder.resolve("host.ini"), "[host]\n");

    FileWatchTest() throws IOException {}

    @AfterExample
    void remove() throws IOException {
        Files.deleteIfExists(file);
        Files.deleteIfExists(folder);
    }

    @Example
    void anUnmodifiedFileHasNotChanged() throws IOException {
        FileWatch watch = new FileWatch(file);

        assertThat(watch.hasChanged()).isFalse();
    }

    @Example
    void aFileThatWasWrittenHasChangedOnce() throws IOException {
        FileWatch watch = new FileWatch(file);
        Files.writeString(file, "[host]\nid = a\n");

        assertThat(watch.hasChanged()).isTrue();
        assertThat(watch.hasChanged()).isFalse();
    }

    @Example
    void aReplacementOfTheSameSizeAndTimeIsDetected() throws IOException {
        Files.setLastModifiedTime(file, FileTime.fromMillis(0));
        FileWatch watch = new FileWatch(file);
        Path replacement = Files.writeString(folder.resolve("new.ini"), "[node]\n");
        Files.setLastModifiedTime(replacement, FileTime.fromMillis(0));
        Files.move(replacement, file, StandardCopyOption.REPLACE_EXISTING);

        assertThat(watch.hasChanged()).isTrue();
    }

    @Example
    void aMissingFileIsAnErrorAndItsReappearanceIsDetected() throws IOException {
        FileWatch watch = new FileWatch(file);
        Files.delete(file);
        assertThat(isMissing(watch)).isTrue();
        Files.writeString(file, "[host]\nid = b\n");

        assertThat(watch.hasChanged()).isTrue();
    }

    private static boolean isMissing(FileWatch watch) throws IOException {
        try {
            watch.hasChanged();
            return false;
        } catch (NoSuchFileException e) {
            return true;
        }
    }
}
