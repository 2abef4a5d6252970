package org.boragebarrow.node.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Detects that a file was written or replaced, by its modification time, size and file key. Not thread-safe; each check
 * costs one system call.
 */
public final class FileWatch {
    private final Path file;
    private State lastState;

    private record State(FileTime lastModified, long size, Object fileKey) {
        static State of(Path file) throws IOException {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return new State(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        }
    }

    /**
     * Starts to watch the file; the first check compares it with its current state.
     *
     * @throws IOException if the file does not exist
     */
    public FileWatch(Path file) throws IOException {
        this.file = checkNotNull(file);
        this.lastState = State.of(file);
    }

    /**
     * Returns whether the file has changed since the last check.
     *
     * @throws IOException if the file does not exist, for example while it is replaced
     */
    public boolean hasChanged() throws IOException {
        State current = State.of(file);
        boolean changed = !current.equals(lastState);
        lastState = current;
        return changed;
    }
}
