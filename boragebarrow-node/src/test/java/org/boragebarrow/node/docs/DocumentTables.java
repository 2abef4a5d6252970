package org.boragebarrow.node.docs;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;

import static com.google.common.base.Preconditions.checkState;

/** Reads Markdown tables of the project's documents. */
final class DocumentTables {
    private static final Splitter CELLS = Splitter.on('|').trimResults();

    private DocumentTables() {}

    /** Returns the rows of the first table whose header starts with the given column, each as a list of its cells. */
    static ImmutableList<ImmutableList<String>> rows(String document, String firstColumn) {
        ImmutableList.Builder<ImmutableList<String>> rows = ImmutableList.builder();
        boolean inTable = false;
        for (String line : read(document).lines().toList()) {
            if (line.startsWith("| " + firstColumn + " |")) {
                inTable = true;
                continue;
            }
            if (inTable && !line.startsWith("|")) {
                break;
            }
            if (inTable && !line.startsWith("|---")) {
                List<String> cells = CELLS.splitToList(line);
                rows.add(ImmutableList.copyOf(cells.subList(1, cells.size() - 1)));
            }
        }
        return rows.build();
    }

    private static String read(String document) {
        Path directory = Path.of("").toAbsolutePath();
        while (!Files.isDirectory(directory.resolve("docs"))) {
            directory = directory.getParent();
            checkState(directory != null, "no directory named docs above the working directory");
        }
        try {
            return Files.readString(directory.resolve("docs").resolve(document));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
