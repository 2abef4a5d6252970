package org.boragebarrow.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

import static com.google.common.base.Preconditions.checkNotNull;

/** Notices that a file was written or replaced, by its time and size. Not thread-safe; a look costs one system call. */
public final class FileWatch {
    private final Path file;
    private State seen;

    private record State(FileTime written, long size, Object key) {
        static State of(Path file) throws IOException {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new State(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        }
    }

    /**
     * Starts to watch the file as it is now.
     *
     * @throws IOException if there is no such file
     */
    public FileWatch(Path file) throws IOException {
        this.file = checkNotNull(file);
        this.seen = State.of(file);
    }

    /**
     * Returns whether the file is another one than at the last look.
     *
     * @throws IOException if there is no such file now, as while it is replaced
     */
    public boolean hasChanged() throws IOException {
        State now = State.of(file);
        boolean changed = !now.equals(seen);
        seen = now;
        return changed;
    }
}
