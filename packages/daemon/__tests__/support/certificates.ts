/** Creates certificates for tests. */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { generate } from 'selfsigned'

/** A certificate with its private key, and the certificate of its authority, in PEM format. */
export interface TlsIdentity {
  readonly cert: string
  readonly key: string
  readonly ca: string
}

/** A certificate authority. */
export interface CertificateAuthority {
  /** Creates a key and a certificate with this common name. */
  sign: (name: string) => Promise<TlsIdentity>
}

/** Creates a certificate authority with a self-signed certificate. */
export async function createCertificateAuthority (): Promise<CertificateAuthority> {
  const ca = await generate([{ name: 'commonName', value: 'test authority' }], {
    keySize: 2048,
    algorithm: 'sha256',
    extensions: [{ name: 'basicConstraints', cA: true, critical: true }, { name: 'keyUsage', keyCertSign: true, digitalSignature: true, critical: true }]
  })
  return {
    sign: async name => {
      const signed = await generate([{ name: 'commonName', value: name }], {
        keySize: 2048, algorithm: 'sha256', ca: { key: ca.private, cert: ca.cert }, extensions: [{ name: 'basicConstraints', cA: false }]
      })
      return { cert: signed.cert, key: signed.private, ca: ca.cert }
    }
  }
}

/** Writes an identity as PEM files and returns their paths, keyed as in the settings. */
export async function writeIdentityFiles (folder: string, identity: TlsIdentity): Promise<{ certFile: string, keyFile: string, caFile: string }> {
  const files = { certFile: join(folder, 'cert.pem'), keyFile: join(folder, 'key.pem'), caFile: join(folder, 'ca.pem') }
  await writeFile(files.caFile, identity.ca)
  await writeFile(files.keyFile, identity.key)
  await writeFile(files.certFile, identity.cert)
  return files
}
