import java.nio.file.Path;

/** Plays a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class Trial {
    /** The play of a case; returns the exit code. */
    interface Play {
        int run(Site site, boolean trouble) throws Exception;
    }

    private static final int CANNOT_RUN = 2;

    private Trial() {}

    /**
     * Plays the case and ends the process.
     *
     * @param arguments the folder of the checkout and that of the case
     */
    static void play(String[] arguments, Play play) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = CANNOT_RUN;
        try (Site site = new Site(Path.of(arguments[0]), Path.of(arguments[1]))) {
            try {
                exit = play.run(site, trouble);
            } catch (Exception e) {
                site.record.write("the case cannot run: " + e);
                System.err.println("error: the case cannot run: " + e);
            }
            site.record.write("exit " + exit);
        } catch (Exception e) {
            System.err.println("error: the case cannot run: " + e);
            exit = CANNOT_RUN;
        }
        System.exit(exit);
    }
}
