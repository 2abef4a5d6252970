package org.boragebarrow.node.docs;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkState;

/** Reads tables of the project's documents. */
final class DocumentTables {
    private static final Splitter CELLS = Splitter.on('|').trimResults();

    private DocumentTables() {}

    /** Returns the rows below the table's head, each as its cells. */
    static ImmutableList<ImmutableList<String>> rows(String document, String firstColumn) {
        ImmutableList.Builder<ImmutableList<String>> rows = ImmutableList.builder();
        boolean inside = false;
        for (String line : read(document).lines().toList()) {
            if (line.startsWith("| " + firstColumn + " |")) {
                inside = true;
                continue;
            }
            if (inside && !line.startsWith("|")) {
                break;
            }
            if (inside && !line.startsWith("|---")) {
                List<String> cells = CELLS.splitToList(line);
                rows.add(ImmutableList.copyOf(cells.subList(1, cells.size() - 1)));
            }
        }
        return rows.build();
    }

    private static String read(String document) {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.isDirectory(folder.resolve("docs"))) {
            folder = folder.getParent();
            checkState(folder != null, "no folder docs above the working directory");
        }
        try {
            return Files.readString(folder.resolve("docs").resolve(document));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
