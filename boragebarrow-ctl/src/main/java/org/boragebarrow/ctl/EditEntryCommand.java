package org.boragebarrow.ctl;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.boragebarrow.decision.change.ChangeEntry;

/** Base of the commands that edit one entry. */
abstract class EditEntryCommand implements CtlCommand {
    @AirlineModule
    private AdminOptions admin = new AdminOptions();

    @AirlineModule
    private ChangeOptions changeOptions = new ChangeOptions();

    @Required
    @Arguments(title = "ID", description = "The entry's id")
    private String id;

    /** Returns the edited entry; throws {@link IllegalArgumentException} if the options are not valid. */
    abstract ChangeEntry entry(String entryId);

    @Override
    public void run(Console console) {
        changeOptions.sendEdit(Usage.checked("entry", () -> entry(id)), admin, console);
    }
}
