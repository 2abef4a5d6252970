package org.boragebarrow.ctl.admin;

import java.util.Optional;

import com.google.common.base.CharMatcher;
import com.google.common.primitives.Longs;
import org.boragebarrow.ctl.CommandException;
import org.boragebarrow.ctl.ExitCode;
import org.boragebarrow.http.client.HttpAnswer;

/** Static functions between versions and entity tags. */
public final class EntityTags {
    private EntityTags() {}

    /** Returns the tag of a version. */
    static String of(long version) {
        return "\"" + version + "\"";
    }

    /** Returns the version that an answer's tag tells. */
    public static long version(HttpAnswer answer) {
        Optional<Long> version =
                answer.header("etag").map(CharMatcher.is('"')::trimFrom).map(Longs::tryParse);
        return version.orElseThrow(() -> new CommandException(ExitCode.FAILED, "the answer tells no version"));
    }
}
