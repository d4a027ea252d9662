package gapproxy.soak;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import javax.tools.ToolProvider;

/**
 * A change of one source file that plants a fault in gateway processes.
 *
 * @param file below the package's folder
 * @param text what is replaced; it has to occur exactly once
 */
record SourceMutation(String file, String text, String replacement) {
  private static final Path SOURCES = Path.of("src/main/java/gapproxy");

  /** Compiles the changed files into a folder of their own and returns it. */
  static Path compile(Path dir, List<SourceMutation> mutations) throws IOException {
    Path classes = Files.createDirectories(dir.resolve("planted-classes"));
    List<String> arguments = new ArrayList<>(List.of("-nowarn", "-proc:none", "-d", classes.toString(), "-cp",
        Path.of("target/classes") + File.pathSeparator + System.getProperty("java.class.path")));
    for (SourceMutation mutation : mutations) {
      arguments.add(mutation.writeTo(dir.resolve("planted-sources")).toString());
    }
    if (ToolProvider.getSystemJavaCompiler().run(null, null, System.err, arguments.toArray(new String[0])) != 0) {
      throw new IllegalStateException("a planted fault does not compile");
    }
    return classes;
  }

  private Path writeTo(Path folder) throws IOException {
    String source = Files.readString(SOURCES.resolve(file));
    if (source.split(java.util.regex.Pattern.quote(text), -1).length != 2) {
      throw new IllegalStateException("the text to replace does not occur exactly once in " + file);
    }
    Path changed = folder.resolve(file);
    Files.createDirectories(changed.getParent());
    return Files.writeString(changed, source.replace(text, replacement));
  }
}
