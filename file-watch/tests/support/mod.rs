//! Contents of files for the tests.

/// Returns a complete file of hosts with these names.
pub fn hosts_file(generation: &str, names: &[&str]) -> String {
    let mut text = format!("generation = {generation}\n\n");
    for (number, name) in names.iter().enumerate() {
        let port = 7000 + number;
        text += &format!(
            "[host {name}]\nendpoint = 127.0.0.1:{port}\nzone = north\nkind = std\nbuild = 41\n\n"
        );
    }
    text + &format!(
        "[end]\nhosts = {}\ngeneration = {generation}\n",
        names.len()
    )
}
