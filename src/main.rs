//! The program; what it takes on its command line is in [`amberspindle::cli`].

fn main() -> std::process::ExitCode {
    amberspindle::cli::main()
}
