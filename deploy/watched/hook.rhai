// An example of an operator's script that is watched. See deploy/hook.rhai.
fn on_request(request) {
    if request.class == "assembly-guide" {
        return #{top: 2};
    }
}
// amberspindle-seal 1 bytes=179 set=0833097b66e285e50d4dedfcbc914d3e125b4268543d00cff737ef0cee12557d blake3=55f6d38734bfb0348b4d9bdd749e045a3d8b785240941bcfad6ced3c1525225a
